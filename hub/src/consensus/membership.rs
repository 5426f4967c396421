//! Changes of the membership.
//!
//! Any control node that reaches the leader is a learner: it is sent the image and syncs it, but does not count. Only a
//! learner that has the newest image becomes a member, so no member ever counts with an empty disk. A change is made in
//! two images: the first names the new members and keeps the old ones as outgoing, and until it is over each quorum
//! needs a majority of both; the second drops the outgoing ones. docs/control-state.md tells which losses each step bears.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use wire::{Image, Member};

use super::core::{AfterSave, Core, Peer};

/// A change of the membership that is due.
struct MembershipChange {
    members: Vec<Member>,
    reason: String,
}

impl Core {
    /// Writes the next change of the membership, if one is due; tells whether it did.
    pub(super) fn change_membership(&mut self, now: Duration) -> bool {
        let settled = self.committed.as_ref().is_some_and(|c| c.0 == self.durable.version_index);
        let Some(image) = self.durable.image.as_deref().filter(|_| settled && !self.leaving) else { return false };
        let mut next = Image::clone(image);
        if !image.outgoing_members.is_empty() {
            next.outgoing_members.clear();
        } else {
            let Some(change) = self.due_change(image, now) else { return false };
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

    fn due_change(&self, image: &Image, now: Duration) -> Option<MembershipChange> {
        let learners = self.learners(image);
        self.readmission(image, &learners)
            .or_else(|| self.replacement(image, &learners, now))
            .or_else(|| self.removal(image, now))
            .or_else(|| self.growth(image, &learners))
            .or_else(|| self.balance(image, &learners))
    }

    /// Connected control nodes that are no members and have synced the newest image; those in the fewest members'
    /// zones first.
    fn learners(&self, image: &Image) -> Vec<Member> {
        let version = self.version();
        let level = |name: &str, p: &Peer| {
            p.connected
                && !p.leaving
                && p.incarnation != 0
                && p.version == Some(version)
                && !self.counts(name, p.incarnation)
        };
        let mut all: Vec<Member> =
            self.peers.iter().filter(|(n, p)| level(n, p)).map(|(n, p)| member_of(n, p)).collect();
        let in_zone = ZoneCounts::new(&image.members);
        all.sort_by_key(|m| in_zone.of(&m.zone));
        all
    }

    /// A member whose disk was lost comes back under another incarnation: the old one can never answer again.
    fn readmission(&self, image: &Image, learners: &[Member]) -> Option<MembershipChange> {
        let learner = learners.iter().find(|l| image.members.iter().any(|m| m.name == l.name))?;
        let members = image.members.iter().map(|m| if m.name == learner.name { learner } else { m }).cloned();
        let reason = format!("{} has a new disk and is a member again", learner.name);
        Some(MembershipChange { members: members.collect(), reason })
    }

    /// A member that is lost or about to end gives its place to a learner.
    fn replacement(&self, image: &Image, learners: &[Member], now: Duration) -> Option<MembershipChange> {
        let old = image.members.iter().find(|m| self.is_leaving(m) || self.is_lost(m, now))?;
        let rest: Vec<Member> = image.members.iter().filter(|m| m != &old).cloned().collect();
        let in_zone = ZoneCounts::new(&rest);
        let new = learners.iter().min_by_key(|l| in_zone.of(&l.zone))?;
        let reason = format!("{} takes the place of {}", new.name, old.name);
        Some(MembershipChange { members: with(rest, new), reason })
    }

    /// Where there are more members than there are to be, one that is lost is dropped.
    fn removal(&self, image: &Image, now: Duration) -> Option<MembershipChange> {
        if image.members.len() <= self.target_members {
            return None;
        }
        let old = image.members.iter().find(|m| self.is_lost(m, now))?;
        let members = image.members.iter().filter(|m| m != &old).cloned().collect();
        Some(MembershipChange { members, reason: format!("{} is no longer a member", old.name) })
    }

    /// While there are fewer members than there are to be, two learners join at once: an even number bears no more losses
    /// than the odd one below it.
    fn growth(&self, image: &Image, learners: &[Member]) -> Option<MembershipChange> {
        if image.members.len() + 2 > self.target_members {
            return None;
        }
        let first = learners.first()?;
        let mut members = with(image.members.clone(), first);
        let in_zone = ZoneCounts::new(&members);
        let second = learners.iter().skip(1).min_by_key(|l| in_zone.of(&l.zone))?;
        let reason = format!("{} and {} are members", first.name, second.name);
        members.push(second.clone());
        Some(MembershipChange { members, reason })
    }

    /// No zone is to hold so many members that its loss leaves no majority.
    fn balance(&self, image: &Image, learners: &[Member]) -> Option<MembershipChange> {
        let most = (image.members.len() - 1) / 2;
        let in_zone = ZoneCounts::new(&image.members);
        let crowded = |m: &&Member| !m.zone.is_empty() && in_zone.of(&m.zone) > most;
        let old = image.members.iter().find(|m| crowded(m) && m.name != self.identity.name)?;
        let fits = |l: &&Member| l.zone != old.zone && in_zone.of(&l.zone) < most;
        let new = learners.iter().find(fits)?;
        let rest = image.members.iter().filter(|m| m != &old).cloned().collect();
        let reason = format!("{} takes the place of {}, whose zone holds too many members", new.name, old.name);
        Some(MembershipChange { members: with(rest, new), reason })
    }

    fn is_leaving(&self, member: &Member) -> bool {
        self.member_passes(member, false, |p| p.leaving)
    }

    /// Whether this leader has not heard from a member for long.
    fn is_lost(&self, member: &Member, now: Duration) -> bool {
        if member.name == self.identity.name {
            return false;
        }
        let heard = self.peers.get(&member.name).filter(|p| p.incarnation == member.incarnation);
        let heard = heard.and_then(|p| p.last_ack).unwrap_or_default().max(self.leading_since);
        now > heard + self.timing.replace_after
    }
}

fn member_of(name: &str, peer: &Peer) -> Member {
    Member { name: name.into(), incarnation: peer.incarnation, address: peer.address.clone(), zone: peer.zone.clone() }
}

fn with(mut members: Vec<Member>, new: &Member) -> Vec<Member> {
    members.push(new.clone());
    members
}

/// How many members each zone holds.
struct ZoneCounts<'a>(BTreeMap<&'a str, usize>);

impl<'a> ZoneCounts<'a> {
    fn new(members: &'a [Member]) -> Self {
        let mut counts = BTreeMap::new();
        for member in members {
            *counts.entry(member.zone.as_str()).or_default() += 1;
        }
        Self(counts)
    }

    fn of(&self, zone: &str) -> usize {
        self.0.get(zone).copied().unwrap_or(0)
    }
}
