//! Records of the servers and nodes that report to the leader.

use std::{collections::BTreeMap, time::Duration};

use base::edge::backend::ServerReport;
use wire::{Node, NodeHeartbeat, Server, ServerAddress, ServerObservation};

/// A server as it last reported itself.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    pub zone: String,
    /// The server's address, an IP address with a port.
    pub addr: String,
    pub draining: bool,
    /// How cold the server is, from 0 (warm) to 1.
    pub cold: f64,
    pub is_primary: bool,
    pub epoch: u64,
    /// When the last report arrived.
    pub last_report: Duration,
    /// Deregistered, or silent for longer than `server_gone_after`.
    pub gone: bool,
    /// The group that the server reports itself for; may be empty.
    pub group: String,
    /// The sequence number of the last report; 0 if the server sends none.
    pub report_seq: u64,
    /// The server reported that it ends.
    pub deregistered: bool,
}

impl ServerRecord {
    /// Builds the record from the server's report.
    pub fn from_report(report: &ServerReport, now: Duration) -> Self {
        Self {
            zone: report.area.clone(),
            addr: report.addr.clone(),
            draining: report.draining,
            cold: report.cold.clamp(0.0, 1.0),
            is_primary: report.leads,
            epoch: report.line,
            last_report: now,
            gone: report.leaving,
            group: report.group.clone(),
            report_seq: report.turn,
            deregistered: report.leaving,
        }
    }

    /// Builds the record from a snapshot of an earlier leader.
    pub fn from_snapshot(server: &Server, now: Duration) -> Self {
        Self {
            zone: server.zone.clone(),
            addr: server.addr.clone(),
            draining: server.draining,
            cold: f64::from(server.coldness_permille) / 1000.0,
            is_primary: server.is_primary,
            epoch: server.epoch,
            last_report: if server.unreachable { Duration::ZERO } else { now },
            gone: server.unreachable,
            group: server.group.clone(),
            report_seq: server.report_seq,
            deregistered: server.deregistered,
        }
    }

    /// Builds the record from the address that was recorded when the server was registered in its group.
    pub fn from_address(server: &ServerAddress, group: &str, now: Duration) -> Self {
        Self {
            zone: server.zone.clone(),
            addr: server.addr.clone(),
            draining: false,
            cold: 0.0,
            is_primary: false,
            epoch: 0,
            last_report: now,
            gone: false,
            group: group.into(),
            report_seq: 0,
            deregistered: false,
        }
    }

    /// The server's address as it is recorded in the image.
    pub fn server_address(&self, name: &str) -> ServerAddress {
        ServerAddress { server: name.into(), addr: self.addr.clone(), zone: self.zone.clone() }
    }

    /// How cold the server is, in thousandths, rounded up to steps of 50 so that a server that warms up does not cause
    /// a snapshot with every report.
    fn cold_step(&self) -> u32 {
        (self.cold * 20.0).ceil() as u32 * 50
    }

    /// Whether the two records are the same in everything that is published to nodes.
    pub fn same_published(&self, other: &ServerRecord) -> bool {
        self.zone == other.zone
            && self.addr == other.addr
            && self.draining == other.draining
            && self.is_primary == other.is_primary
            && self.epoch == other.epoch
            && self.gone == other.gone
            && self.deregistered == other.deregistered
            && self.group == other.group
            && self.cold_step() == other.cold_step()
    }

    /// The record as it is published in a snapshot.
    pub fn to_message(&self, name: &str) -> Server {
        Server {
            name: name.into(),
            zone: self.zone.clone(),
            addr: self.addr.clone(),
            draining: self.draining,
            unreachable: self.gone,
            coldness_permille: self.cold_step(),
            is_primary: self.is_primary,
            epoch: self.epoch,
            group: self.group.clone(),
            report_seq: self.report_seq,
            deregistered: self.deregistered,
        }
    }
}

/// A node as of its last heartbeat.
#[derive(Clone, Debug)]
pub struct NodeRecord {
    pub node: Node,
    /// When the last heartbeat arrived.
    pub last_heartbeat: Duration,
    /// The node's observations of servers, by server.
    pub observations: BTreeMap<String, ServerObservation>,
    pub is_control_node: bool,
}

impl NodeRecord {
    /// Builds the record from the node's heartbeat.
    pub fn from_heartbeat(heartbeat: &NodeHeartbeat, now: Duration) -> Self {
        let node = Node {
            name: heartbeat.name.clone(),
            zone: heartbeat.zone.clone(),
            peer: heartbeat.peer.clone(),
            http: heartbeat.http.clone(),
            parent: heartbeat.parent.clone(),
            depth: heartbeat.depth,
        };
        let observations = heartbeat
            .observations
            .iter()
            .map(|observation| (observation.server.clone(), observation.clone()))
            .collect();
        Self { node, last_heartbeat: now, observations, is_control_node: heartbeat.is_control_node }
    }

    /// Whether the node has had no response from a server for longer than `max_age`, or doesn't observe it.
    pub fn cannot_reach(&self, server: &str, now: Duration, max_age: Duration) -> bool {
        let observation = self.observations.get(server);
        observation.is_none_or(|observation| {
            Duration::from_millis(observation.age_ms) + now.saturating_sub(self.last_heartbeat) > max_age
        })
    }

    /// Builds the record from a snapshot of an earlier leader.
    pub fn from_snapshot(node: &Node, now: Duration) -> Self {
        Self { node: node.clone(), last_heartbeat: now, observations: BTreeMap::new(), is_control_node: false }
    }
}
