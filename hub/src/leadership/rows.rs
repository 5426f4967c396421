//! What operators read of the leader's state, as JSON.

use base::{http::HttpResponse, strict};
use nanoserde::SerJson;

use super::Leadership;

strict! {
    /// A node.
    pub struct NodeRow {
        pub name: String,
        pub area: String,
        pub peer: String,
        pub http: String,
        pub parent: String,
        pub depth: u64,
        pub heard_ms: u64,
    }
}

strict! {
    /// A server.
    pub struct ServerRow {
        pub name: String,
        pub group: String,
        pub area: String,
        pub addr: String,
        pub draining: bool,
        pub gone: bool,
        pub cold: f64,
        pub heard_ms: u64,
        pub position: String,
    }
}

strict! {
    /// A group's leadership status.
    pub struct LeadershipRow {
        pub group: String,
        pub server: String,
        pub line: u64,
        pub granting: bool,
        pub proven: bool,
        pub why: String,
    }
}

strict! {
    /// A node's outstanding share of a server's connections.
    pub struct ShareRow {
        pub server: String,
        pub node: String,
        pub count: u64,
    }
}

/// A JSON response with a list of rows.
fn json<T: SerJson>(rows: Vec<T>) -> HttpResponse {
    HttpResponse::new(200, rows.serialize_json()).with_header("content-type", "application/json")
}

impl Leadership {
    /// The nodes that send heartbeats.
    pub fn node_rows(&self) -> HttpResponse {
        let now = self.env.now();
        let nodes = self.nodes.borrow();
        let row = |node: &super::NodeRecord| NodeRow {
            name: node.node.name.clone(),
            area: node.node.zone.clone(),
            peer: node.node.peer.clone(),
            http: node.node.http.clone(),
            parent: node.node.parent.clone(),
            depth: u64::from(node.node.depth),
            heard_ms: now.saturating_sub(node.last_heartbeat).as_millis() as u64,
        };
        json(nodes.values().map(row).collect())
    }

    /// The servers as last reported.
    pub fn server_rows(&self) -> HttpResponse {
        let now = self.env.now();
        let image = self.consensus.image();
        let servers = self.servers.borrow();
        let row = |(name, record): (&String, &super::ServerRecord)| ServerRow {
            name: name.clone(),
            group: image
                .as_ref()
                .and_then(|image| image.group_of(name))
                .map(|group| group.name.clone())
                .unwrap_or_default(),
            area: record.zone.clone(),
            addr: record.addr.clone(),
            draining: record.draining,
            gone: record.gone,
            cold: record.cold,
            heard_ms: now.saturating_sub(record.last_report).as_millis() as u64,
            position: self.log_samples.borrow().get(name).map(|sample| sample.position.to_string()).unwrap_or_default(),
        };
        json(servers.iter().map(row).collect())
    }

    /// The leadership status of each group.
    pub fn leadership_rows(&self) -> HttpResponse {
        let image = self.consensus.image();
        let rows = self.group_leadership().into_iter().map(|(group, leadership)| LeadershipRow {
            server: image
                .as_ref()
                .and_then(|image| image.election(&group))
                .map(|election| election.server.clone())
                .unwrap_or_default(),
            group,
            line: leadership.epoch,
            granting: leadership.granting,
            proven: leadership.proven,
            why: leadership.reason,
        });
        json(rows.collect())
    }

    /// The outstanding shares.
    pub fn share_rows(&self) -> HttpResponse {
        let rows = self.leases.borrow().outstanding_shares(self.env.now());
        json(rows.into_iter().map(|(server, node, count)| ShareRow { server, node, count }).collect())
    }
}
