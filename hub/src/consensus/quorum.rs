//! Which control nodes decide, as the image says.

use std::time::Duration;

use wire::{Image, Member};

/// Whether a disk counts for quorums, now or until a change of the membership is over.
pub fn is_member(image: &Image, name: &str, incarnation: u64) -> bool {
    let all = image.members.iter().chain(&image.outgoing_members);
    all.into_iter().any(|m| m.name == name && m.incarnation == incarnation)
}

/// Whether the members that pass a test make a quorum: a majority of the members, and while the membership changes a
/// majority of those before too.
pub fn has_quorum(image: &Image, agrees: impl Fn(&Member) -> bool) -> bool {
    let majority = |members: &[Member]| members.iter().filter(|m| agrees(m)).count() * 2 > members.len();
    let before = image.outgoing_members.is_empty() || majority(&image.outgoing_members);
    before && majority(&image.members)
}

/// The latest moment that a quorum has reached, by the moment of each member; `None` where too few have one.
pub fn quorum_moment(image: &Image, moment: impl Fn(&Member) -> Option<Duration>) -> Option<Duration> {
    let all = image.members.iter().chain(&image.outgoing_members);
    let mut moments: Vec<Duration> = all.filter_map(&moment).collect();
    moments.sort();
    let reached = |t: &Duration| has_quorum(image, |m| moment(m).is_some_and(|x| x >= *t));
    moments.into_iter().rev().find(|t| reached(t))
}
