use std::{collections::BTreeMap, time::Duration};

use base::edge::backend::ServerReport;
use wire::{Node, NodeHeartbeat, Server, ServerAddress, ServerObservation};

/// A server as it last told of itself.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    pub area: String,
    pub addr: String,
    pub draining: bool,
    pub cold: f64,
    pub leads: bool,
    pub line: u64,
    pub heard: Duration,
    pub gone: bool,
    /// The group it makes itself known for, if it does.
    pub group: String,
    pub turn: u64,
    /// It said that it ends.
    pub left: bool,
}

impl ServerRecord {
    /// From the server's report.
    pub fn from_report(r: &ServerReport, now: Duration) -> Self {
        Self {
            area: r.area.clone(),
            addr: r.addr.clone(),
            draining: r.draining,
            cold: r.cold.clamp(0.0, 1.0),
            leads: r.leads,
            line: r.line,
            heard: now,
            gone: r.leaving,
            group: r.group.clone(),
            turn: r.turn,
            left: r.leaving,
        }
    }

    /// From news that an earlier leading hub sent.
    pub fn from_news(s: &Server, now: Duration) -> Self {
        Self {
            area: s.zone.clone(),
            addr: s.addr.clone(),
            draining: s.draining,
            cold: f64::from(s.cold) / 1000.0,
            leads: s.is_primary,
            line: s.epoch,
            heard: if s.gone { Duration::ZERO } else { now },
            gone: s.gone,
            group: s.group.clone(),
            turn: s.report_seq,
            left: s.left,
        }
    }

    /// From what was written down when the server was written into its group.
    pub fn from_spot(s: &ServerAddress, group: &str, now: Duration) -> Self {
        Self {
            area: s.zone.clone(),
            addr: s.addr.clone(),
            draining: false,
            cold: 0.0,
            leads: false,
            line: 0,
            heard: now,
            gone: false,
            group: group.into(),
            turn: 0,
            left: false,
        }
    }

    /// Where it stands.
    pub fn spot(&self, name: &str) -> ServerAddress {
        ServerAddress { server: name.into(), addr: self.addr.clone(), zone: self.area.clone() }
    }

    /// Coldness in twentieths, so that warming up is not news at every report.
    fn step(&self) -> u32 {
        (self.cold * 20.0).ceil() as u32 * 50
    }

    /// Whether nothing changed that nodes need to hear.
    pub fn same(&self, o: &ServerRecord) -> bool {
        self.area == o.area
            && self.addr == o.addr
            && self.draining == o.draining
            && self.leads == o.leads
            && self.line == o.line
            && self.gone == o.gone
            && self.left == o.left
            && self.group == o.group
            && self.step() == o.step()
    }

    /// As it goes into the news.
    pub fn news(&self, name: &str) -> Server {
        Server {
            name: name.into(),
            zone: self.area.clone(),
            addr: self.addr.clone(),
            draining: self.draining,
            gone: self.gone,
            cold: self.step(),
            is_primary: self.leads,
            epoch: self.line,
            group: self.group.clone(),
            report_seq: self.turn,
            left: self.left,
        }
    }
}

/// A node whose session stands.
#[derive(Clone, Debug)]
pub struct NodeRecord {
    pub node: Node,
    pub heard: Duration,
    /// What it sees of servers, by their names.
    pub sights: BTreeMap<String, ServerObservation>,
    pub hub: bool,
}

impl NodeRecord {
    /// From the node's beat.
    pub fn from_beat(b: &NodeHeartbeat, now: Duration) -> Self {
        let node = Node {
            name: b.name.clone(),
            zone: b.zone.clone(),
            peer: b.peer.clone(),
            http: b.http.clone(),
            parent: b.parent.clone(),
            depth: b.depth,
        };
        let sights = b.observations.iter().map(|sight| (sight.server.clone(), sight.clone())).collect();
        Self { node, heard: now, sights, hub: b.hub }
    }

    /// Whether the node has had no answer from a server for a span.
    pub fn blind(&self, server: &str, now: Duration, span: Duration) -> bool {
        let sight = self.sights.get(server);
        sight.is_none_or(|x| Duration::from_millis(x.age) + now.saturating_sub(self.heard) > span)
    }

    /// From news that an earlier leading hub sent.
    pub fn from_news(n: &Node, now: Duration) -> Self {
        Self { node: n.clone(), heard: now, sights: BTreeMap::new(), hub: false }
    }
}
