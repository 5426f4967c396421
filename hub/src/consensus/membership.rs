//! Changes of the membership.
//!
//! Any control node that is connected to the leader but is no member is a learner: it receives and syncs the image, but
//! has no vote and is not counted in quorums. Only a learner that holds the newest image becomes a member, so no member
//! is ever counted with an empty disk. A change takes two images (joint consensus): the first names the new members and
//! keeps the old ones as outgoing, and every quorum needs a majority of both; the second drops the outgoing ones.
//! docs/control-state.md explains which losses each step tolerates.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use wire::{Image, Member};

use super::core::{AfterSave, Core, Peer};

/// A change of the membership that is ready to be made, with its reason for the log.
struct MembershipChange {
    members: Vec<Member>,
    reason: String,
}

impl Core {
    /// Saves the next step of a membership change, if one is ready; returns whether it did. No change starts before the
    /// newest image is committed.
    pub(super) fn change_membership(&mut self, now: Duration) -> bool {
        let is_settled = self.committed.as_ref().is_some_and(|c| c.0 == self.durable.version_index);
        let Some(image) = self.durable.image.as_deref().filter(|_| is_settled && !self.leaving) else { return false };
        let mut next = Image::clone(image);
        if !image.outgoing_members.is_empty() {
            next.outgoing_members.clear();
        } else {
            let Some(change) = self.next_change(image, now) else { return false };
            next.outgoing_members = std::mem::replace(&mut next.members, change.members);
            if self.guards.no_joint {
                next.outgoing_members.clear();
            }
            self.log(change.reason);
        }
        let next = self.next_version(Rc::new(next));
        self.save(next, AfterSave::Replicate);
        true
    }

    fn next_change(&self, image: &Image, now: Duration) -> Option<MembershipChange> {
        let learners = self.learners(image);
        self.readmission(image, &learners)
            .or_else(|| self.replacement(image, &learners, now))
            .or_else(|| self.removal(image, now))
            .or_else(|| self.growth(image, &learners))
            .or_else(|| self.rebalancing(image, &learners))
    }

    /// Connected control nodes that are no members and have synced the newest image, sorted by the number of members in
    /// their zone.
    fn learners(&self, image: &Image) -> Vec<Member> {
        let version = self.version();
        let is_up_to_date = |name: &str, p: &Peer| {
            p.connected
                && !p.leaving
                && p.incarnation != 0
                && p.version == Some(version)
                && !self.is_current_member(name, p.incarnation)
        };
        let mut learners: Vec<Member> =
            self.peers.iter().filter(|(n, p)| is_up_to_date(n, p)).map(|(n, p)| to_member(n, p)).collect();
        let in_zone = ZoneCounts::new(&image.members);
        learners.sort_by_key(|m| in_zone.count(&m.zone));
        learners
    }

    /// Readmits a member whose disk was lost and which came back with a new incarnation: a disk with the old
    /// incarnation can never respond again.
    fn readmission(&self, image: &Image, learners: &[Member]) -> Option<MembershipChange> {
        let learner = learners.iter().find(|l| image.members.iter().any(|m| m.name == l.name))?;
        let members = image.members.iter().map(|m| if m.name == learner.name { learner } else { m }).cloned();
        let reason = format!("{} has a new disk and is a member again", learner.name);
        Some(MembershipChange { members: members.collect(), reason })
    }

    /// Replaces a member that is lost or leaving by a learner.
    fn replacement(&self, image: &Image, learners: &[Member], now: Duration) -> Option<MembershipChange> {
        let old = image.members.iter().find(|m| self.is_leaving(m) || self.is_lost(m, now))?;
        let remaining: Vec<Member> = image.members.iter().filter(|m| m != &old).cloned().collect();
        let in_zone = ZoneCounts::new(&remaining);
        let new = learners.iter().min_by_key(|l| in_zone.count(&l.zone))?;
        let reason = format!("{} replaces {} as a member", new.name, old.name);
        Some(MembershipChange { members: with_member(remaining, new), reason })
    }

    /// Removes a lost member, if there are more members than the target.
    fn removal(&self, image: &Image, now: Duration) -> Option<MembershipChange> {
        if image.members.len() <= self.target_members {
            return None;
        }
        let old = image.members.iter().find(|m| self.is_lost(m, now))?;
        let members = image.members.iter().filter(|m| m != &old).cloned().collect();
        Some(MembershipChange { members, reason: format!("{} is no longer a member", old.name) })
    }

    /// Adds two learners in one change, if there are fewer members than the target: an even number of members tolerates
    /// no more losses than the odd number below it.
    fn growth(&self, image: &Image, learners: &[Member]) -> Option<MembershipChange> {
        if image.members.len() + 2 > self.target_members {
            return None;
        }
        let first = learners.first()?;
        let mut members = with_member(image.members.clone(), first);
        let in_zone = ZoneCounts::new(&members);
        let second = learners.iter().skip(1).min_by_key(|l| in_zone.count(&l.zone))?;
        let reason = format!("{} and {} become members", first.name, second.name);
        members.push(second.clone());
        Some(MembershipChange { members, reason })
    }

    /// Moves a member's place to another zone, if a zone holds so many members that its loss would leave no majority.
    fn rebalancing(&self, image: &Image, learners: &[Member]) -> Option<MembershipChange> {
        let max_in_zone = (image.members.len() - 1) / 2;
        let in_zone = ZoneCounts::new(&image.members);
        let is_in_crowded_zone = |m: &&Member| !m.zone.is_empty() && in_zone.count(&m.zone) > max_in_zone;
        let old = image.members.iter().find(|m| is_in_crowded_zone(m) && m.name != self.identity.name)?;
        let fits = |l: &&Member| l.zone != old.zone && in_zone.count(&l.zone) < max_in_zone;
        let new = learners.iter().find(fits)?;
        let remaining = image.members.iter().filter(|m| m != &old).cloned().collect();
        let reason = format!("{} replaces {}, whose zone holds too many members", new.name, old.name);
        Some(MembershipChange { members: with_member(remaining, new), reason })
    }

    fn is_leaving(&self, member: &Member) -> bool {
        self.member_satisfies(member, false, |p| p.leaving)
    }

    /// Whether a member has acknowledged no heartbeat of this leader for `replace_after`.
    fn is_lost(&self, member: &Member, now: Duration) -> bool {
        if member.name == self.identity.name {
            return false;
        }
        let last_ack = self.peers.get(&member.name).filter(|p| p.incarnation == member.incarnation);
        let last_ack = last_ack.and_then(|p| p.last_ack).unwrap_or_default().max(self.leading_since);
        now > last_ack + self.timing.replace_after
    }
}

fn to_member(name: &str, peer: &Peer) -> Member {
    Member { name: name.into(), incarnation: peer.incarnation, address: peer.address.clone(), zone: peer.zone.clone() }
}

fn with_member(mut members: Vec<Member>, new: &Member) -> Vec<Member> {
    members.push(new.clone());
    members
}

/// The number of members in each zone.
struct ZoneCounts<'a>(BTreeMap<&'a str, usize>);

impl<'a> ZoneCounts<'a> {
    fn new(members: &'a [Member]) -> Self {
        let mut counts = BTreeMap::new();
        for member in members {
            *counts.entry(member.zone.as_str()).or_default() += 1;
        }
        Self(counts)
    }

    fn count(&self, zone: &str) -> usize {
        self.0.get(zone).copied().unwrap_or(0)
    }
}
