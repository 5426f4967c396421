//! Whether the list of a group's servers is complete. Servers make themselves known by heartbeats, and nobody tells how
//! many there are: one that is not listed yet may have confirmed a commit. See "No acknowledged commit is lost" in
//! docs/platform.md.

use std::{collections::BTreeMap, time::Duration};

use wire::{Group, GroupMembership, Image};

use super::Leadership;

/// Of the servers that answer readings, this share must have sent a heartbeat lately, in tenths.
const HEARD_TENTHS: usize = 9;

/// A list that is shorter than another group's must stay as it is so many times as long before it is first found complete.
const SHORT_FACTOR: u32 = 4;

/// The lists of servers that this hub saw, and since when each has stayed as it is.
pub type Listed = BTreeMap<String, (Vec<String>, Duration)>;

impl Leadership {
    /// Whether an election may rest on the list: it was found complete, and nobody has made itself known since who is
    /// not on it.
    pub(super) fn list_stands(&self, group: &Group) -> bool {
        if self.disabled.any_list {
            return true;
        }
        let Some(image) = self.consensus.image() else { return false };
        let Some(newest) = image.groups.iter().find(|g| g.name == group.name) else { return false };
        newest.servers == group.servers && image.is_membership_complete(newest) && self.unlisted(newest).is_empty()
    }

    /// Servers that made themselves known for a group and are not written into it.
    pub(super) fn unlisted(&self, group: &Group) -> Vec<String> {
        let told = self.servers.borrow();
        let of_group = told.iter().filter(|(_, t)| t.group == group.name && !t.gone && !t.left);
        of_group.map(|(name, _)| name).filter(|name| !group.servers.contains(name)).cloned().collect()
    }

    /// How long a list must stay as it is before it counts as complete. A server sends a heartbeat within the time after
    /// which it would count as gone, and a second one if the first is lost.
    fn settle_span(&self) -> Duration {
        self.bounds.server_gone_after() * 2
    }

    /// The groups whose lists are found complete now and are not recorded as such yet.
    pub(super) fn found_complete(&self, image: &Image) -> Vec<GroupMembership> {
        let now = self.env.now();
        let groups: Vec<&Group> = image.groups.iter().filter(|g| g.confirms).collect();
        let mut listed = self.listed.borrow_mut();
        listed.retain(|name, _| groups.iter().any(|g| g.name == *name));
        for g in &groups {
            let entry = listed.entry(g.name.clone()).or_insert_with(|| (g.servers.clone(), now));
            if entry.0 != g.servers {
                *entry = (g.servers.clone(), now);
            }
        }
        let settled = now.saturating_sub(self.settle_span());
        if self.consensus.term().1 > settled || !self.heartbeats_arrive(image, settled) {
            return Vec::new();
        }
        let recorded = |g: &Group| {
            let servers = g.servers.len() as u64;
            image.group_memberships.iter().any(|m| m.group == g.name && m.servers == servers)
        };
        let longest = groups.iter().map(|g| g.servers.len()).max().unwrap_or(0);
        let quiet = |g: &Group| {
            let first = image.group_memberships.iter().all(|m| m.group != g.name);
            let factor = if first && g.servers.len() < longest { SHORT_FACTOR } else { 1 };
            let since = listed.get(&g.name).map_or(now, |l| l.1);
            since + self.settle_span() * factor < now
                && !g.servers.is_empty()
                && self.unlisted(g).is_empty()
                && self.all_heard(g, settled)
        };
        let new = groups.into_iter().filter(|g| !recorded(g) && quiet(g));
        new.map(|g| GroupMembership { group: g.name.clone(), servers: g.servers.len() as u64 }).collect()
    }

    /// Whether a server answers this hub's readings.
    fn answers(&self, server: &str) -> bool {
        let since = self.env.now().saturating_sub(self.bounds.server_gone_after());
        self.talks.borrow().get(server).and_then(|t| t.alive).is_some_and(|t| t >= since)
    }

    fn heard_since(&self, server: &str, since: Duration) -> bool {
        self.servers.borrow().get(server).is_some_and(|t| t.heard > since)
    }

    /// Whether all servers of a group that answer have sent a heartbeat since a time.
    fn all_heard(&self, group: &Group, since: Duration) -> bool {
        group.servers.iter().all(|s| !self.answers(s) || self.heard_since(s, since))
    }

    /// Whether heartbeats arrive at all: a hub or network that loses many would miss those of an unlisted server too.
    fn heartbeats_arrive(&self, image: &Image, since: Duration) -> bool {
        let servers = image.groups.iter().filter(|g| g.confirms).flat_map(|g| &g.servers);
        let answering: Vec<&String> = servers.filter(|s| self.answers(s)).collect();
        let heard = answering.iter().filter(|s| self.heard_since(s, since)).count();
        heard * 10 >= answering.len() * HEARD_TENTHS
    }
}
