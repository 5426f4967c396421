//! Quorums of the members that an image names.

use std::time::Duration;

use wire::{Image, Member};

/// Whether a disk belongs to a member, or to an outgoing member during a membership change.
pub fn is_member(image: &Image, name: &str, incarnation: u64) -> bool {
    let members = image.members.iter().chain(&image.outgoing_members);
    members.into_iter().any(|m| m.name == name && m.incarnation == incarnation)
}

/// Whether the members that satisfy a predicate form a quorum: a majority of the members, and during a membership
/// change also a majority of the outgoing members.
pub fn has_quorum(image: &Image, predicate: impl Fn(&Member) -> bool) -> bool {
    let majority = |members: &[Member]| members.iter().filter(|m| predicate(m)).count() * 2 > members.len();
    let outgoing_majority = image.outgoing_members.is_empty() || majority(&image.outgoing_members);
    outgoing_majority && majority(&image.members)
}

/// The latest time that a quorum of members has reached, given the time of each member; `None` if too few have one.
pub fn latest_quorum_time(image: &Image, time_of: impl Fn(&Member) -> Option<Duration>) -> Option<Duration> {
    let members = image.members.iter().chain(&image.outgoing_members);
    let mut times: Vec<Duration> = members.filter_map(&time_of).collect();
    times.sort();
    let is_reached = |t: &Duration| has_quorum(image, |m| time_of(m).is_some_and(|x| x >= *t));
    times.into_iter().rev().find(|t| is_reached(t))
}
