//! Nodes' heartbeats, and the leases and shares granted with their acknowledgements.

use std::{collections::BTreeMap, time::Duration};

use wire::{Image, NodeHeartbeat, NodeHeartbeatAck};

use super::{Leadership, registry::NodeRecord};
use crate::leases::{self, Holder};

impl Leadership {
    /// Handles a node's heartbeat and returns the acknowledgement with the leases granted to the node. Returns nothing
    /// if this control node doesn't lead or if the node runs with other bounds.
    pub fn on_heartbeat(&self, heartbeat: NodeHeartbeat) -> Option<NodeHeartbeatAck> {
        if !self.consensus.leads_with_lease() || self.term.get() != self.consensus.term().0 {
            return None;
        }
        if !self.consensus.has_same_bounds(&heartbeat.name, heartbeat.bounds_digest) {
            return None;
        }
        let image = self.consensus.image()?;
        if self.publish_overdue.get() {
            self.publish();
        }
        let now = self.env.now();
        {
            let mut nodes = self.nodes.borrow_mut();
            nodes.insert(heartbeat.name.clone(), NodeRecord::from_heartbeat(&heartbeat, now));
            if heartbeat.leaving {
                nodes.remove(&heartbeat.name);
            }
        }
        self.leases.borrow_mut().record_heartbeat(&heartbeat, now);
        if heartbeat.is_control_node {
            self.consensus.add_discovered(&heartbeat.peer);
        }
        if heartbeat.is_control_node || heartbeat.leaving {
            return Some(self.acknowledgement(&heartbeat, Vec::new(), Vec::new()));
        }
        self.adopt_reported_leases(&heartbeat, &image);
        for observation in heartbeat.observations.iter().filter(|observation| observation.lost_since_admission > 0) {
            self.record_lost_entries(&image, &observation.server, observation.lost_since_admission);
        }
        let primary_leases = self.grant_primary_leases(&heartbeat, &image, now);
        let shares = self.grant_shares(&heartbeat, &image, now);
        Some(self.acknowledgement(&heartbeat, primary_leases, shares))
    }

    /// The acknowledgement of a heartbeat.
    pub(super) fn acknowledgement(
        &self,
        heartbeat: &NodeHeartbeat,
        primary_leases: Vec<wire::PrimaryLeaseGrant>,
        shares: Vec<wire::ShareGrant>,
    ) -> NodeHeartbeatAck {
        NodeHeartbeatAck {
            name: heartbeat.name.clone(),
            boot_id: heartbeat.boot_id,
            nonce: heartbeat.nonce,
            snapshot_version: Some(self.snapshot_version()),
            primary_leases,
            shares,
        }
    }

    /// Grants a node the leases on the primaries of all groups where leases may be granted.
    pub(super) fn grant_primary_leases(
        &self,
        heartbeat: &NodeHeartbeat,
        image: &Image,
        now: Duration,
    ) -> Vec<wire::PrimaryLeaseGrant> {
        let group_leadership = self.group_leadership.borrow();
        let holder = Holder { node: &heartbeat.name, boot_id: heartbeat.boot_id, nonce: heartbeat.nonce };
        let mut leases = Vec::new();
        let confirms: BTreeMap<&str, bool> =
            image.groups.iter().map(|group| (group.name.as_str(), group.confirms)).collect();
        for (group, leadership) in group_leadership.iter().filter(|(_, leadership)| leadership.granting) {
            let server = match confirms.get(group.as_str()) {
                Some(true) => leadership.server.clone(),
                _ => match image.election(group) {
                    Some(election) if election.epoch == leadership.epoch => election.server.clone(),
                    _ => continue,
                },
            };
            self.leases.borrow_mut().grant_primary(group, holder, now + self.bounds.lease_expiry_wait());
            leases.push(wire::PrimaryLeaseGrant {
                group: group.clone(),
                server,
                epoch: leadership.epoch,
                valid_ms: self.bounds.lease_duration().as_millis() as u64,
            });
        }
        leases
    }

    /// Grants a node its shares of all servers' connections.
    pub(super) fn grant_shares(
        &self,
        heartbeat: &NodeHeartbeat,
        image: &Image,
        now: Duration,
    ) -> Vec<wire::ShareGrant> {
        let mut grants = Vec::new();
        let mut table = self.leases.borrow_mut();
        let holder = Holder { node: &heartbeat.name, boot_id: heartbeat.boot_id, nonce: heartbeat.nonce };
        let until = now + self.bounds.lease_expiry_wait();
        for group in &image.groups {
            for server in &group.servers {
                let cold = self.servers.borrow().get(server).map_or(0.0, |record| record.cold);
                let cold = if self.disabled.no_warm_up { 0.0 } else { cold };
                let cap = leases::shareable_connections(group.cap, cold);
                let leases::Share { count, scarce, sharers } = match self.disabled.ignore_outstanding_shares {
                    true => leases::Share { count: cap, scarce: false, sharers: 1 },
                    // A cold server's reduced cap is what it can handle; the server itself enforces only its full cap.
                    false => table.grant_share(server, holder, cap, now, until, group.confirms && cold == 0.0),
                };
                let valid_ms = self.bounds.lease_duration().as_millis() as u64;
                grants.push(wire::ShareGrant { server: server.clone(), count, valid_ms, scarce, sharers });
            }
        }
        grants
    }
}
