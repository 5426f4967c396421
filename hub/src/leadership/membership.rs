//! Whether the list of a group's servers is complete. Servers register by heartbeats, and their number is not
//! configured: a server that is not registered yet may have confirmed a commit. See "No acknowledged commit is lost" in
//! docs/platform.md.

use std::{collections::BTreeMap, time::Duration};

use wire::{Group, GroupMembership, Image};

use super::Leadership;

/// The share of the responding servers, in tenths, that must have sent a heartbeat recently.
const MIN_REPORTING_TENTHS: usize = 9;

/// A list that is shorter than another group's must stay unchanged this many times as long before it is first found
/// complete.
const SHORT_LIST_FACTOR: u32 = 4;

/// Each group's list of servers as this control node observed it, and since when it has been unchanged.
pub type ServerLists = BTreeMap<String, (Vec<String>, Duration)>;

impl Leadership {
    /// Whether an election may rely on the list: it was found complete, and no unregistered server has reported itself.
    pub(super) fn is_membership_settled(&self, group: &Group) -> bool {
        if self.disabled.any_membership {
            return true;
        }
        let Some(image) = self.consensus.image() else { return false };
        let Some(newest) = image.groups.iter().find(|newest| newest.name == group.name) else { return false };
        newest.servers == group.servers
            && image.is_membership_complete(newest)
            && self.unregistered_servers(newest).is_empty()
    }

    /// Servers that reported themselves for a group and are not registered in it.
    pub(super) fn unregistered_servers(&self, group: &Group) -> Vec<String> {
        let records = self.servers.borrow();
        let of_group =
            records.iter().filter(|(_, record)| record.group == group.name && !record.gone && !record.deregistered);
        of_group.map(|(name, _)| name).filter(|name| !group.servers.contains(name)).cloned().collect()
    }

    /// How long a list must stay unchanged before it counts as complete. A server sends a heartbeat within
    /// `server_gone_after`, and a second one within the same time again if the first is lost.
    fn settle_time(&self) -> Duration {
        self.bounds.server_gone_after() * 2
    }

    /// The groups whose lists are complete now and are not recorded as such yet.
    pub(super) fn newly_complete(&self, image: &Image) -> Vec<GroupMembership> {
        let now = self.env.now();
        let groups: Vec<&Group> = image.groups.iter().filter(|group| group.confirms).collect();
        let mut server_lists = self.server_lists.borrow_mut();
        server_lists.retain(|name, _| groups.iter().any(|group| group.name == *name));
        for group in &groups {
            let entry = server_lists.entry(group.name.clone()).or_insert_with(|| (group.servers.clone(), now));
            if entry.0 != group.servers {
                *entry = (group.servers.clone(), now);
            }
        }
        let settled = now.saturating_sub(self.settle_time());
        if self.consensus.term().1 > settled || !self.heartbeats_arrive(image, settled) {
            return Vec::new();
        }
        let recorded = |group: &Group| {
            let servers = group.servers.len() as u64;
            image
                .group_memberships
                .iter()
                .any(|membership| membership.group == group.name && membership.servers == servers)
        };
        let max_servers = groups.iter().map(|group| group.servers.len()).max().unwrap_or(0);
        let is_settled = |group: &Group| {
            let first_time = image.group_memberships.iter().all(|membership| membership.group != group.name);
            let factor = if first_time && group.servers.len() < max_servers { SHORT_LIST_FACTOR } else { 1 };
            let since = server_lists.get(&group.name).map_or(now, |entry| entry.1);
            since + self.settle_time() * factor < now
                && !group.servers.is_empty()
                && self.unregistered_servers(group).is_empty()
                && self.all_reported(group, settled)
        };
        let complete = groups.into_iter().filter(|group| !recorded(group) && is_settled(group));
        complete
            .map(|group| GroupMembership { group: group.name.clone(), servers: group.servers.len() as u64 })
            .collect()
    }

    /// Whether a server answered this control node's status requests recently, and is expected to send heartbeats: one
    /// that deregistered sends none.
    fn is_responding(&self, server: &str) -> bool {
        if self.servers.borrow().get(server).is_some_and(|record| record.deregistered) {
            return false;
        }
        let since = self.env.now().saturating_sub(self.bounds.server_gone_after());
        self.server_statuses.borrow().get(server).and_then(|status| status.last_response).is_some_and(|at| at >= since)
    }

    /// Whether a server has sent a heartbeat later than `since`.
    fn reported_since(&self, server: &str, since: Duration) -> bool {
        self.servers.borrow().get(server).is_some_and(|record| record.last_report > since)
    }

    /// Whether all responding servers of a group have sent a heartbeat later than `since`.
    fn all_reported(&self, group: &Group, since: Duration) -> bool {
        group.servers.iter().all(|server| !self.is_responding(server) || self.reported_since(server, since))
    }

    /// Whether heartbeats arrive at all: a control node or network that loses many of them would also lose those of an
    /// unregistered server.
    fn heartbeats_arrive(&self, image: &Image, since: Duration) -> bool {
        let servers = image.groups.iter().filter(|group| group.confirms).flat_map(|group| &group.servers);
        let answering: Vec<&String> = servers.filter(|server| self.is_responding(server)).collect();
        let reporting = answering.iter().filter(|server| self.reported_since(server, since)).count();
        reporting * 10 >= answering.len() * MIN_REPORTING_TENTHS
    }
}
