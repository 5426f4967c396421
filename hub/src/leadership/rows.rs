use base::{http::HttpResponse, strict};
use nanoserde::SerJson;

use super::Leadership;

strict! {
    /// A node as operators read it.
    pub struct Member {
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
    /// A server as operators read it.
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
    /// A group's leadership as operators read it.
    pub struct LeadRow {
        pub group: String,
        pub server: String,
        pub line: u64,
        pub granting: bool,
        pub proven: bool,
        pub why: String,
    }
}

strict! {
    /// A share of a server's connections that is out.
    pub struct GrantRow {
        pub server: String,
        pub node: String,
        pub count: u64,
    }
}

fn json<T: SerJson>(rows: Vec<T>) -> HttpResponse {
    HttpResponse::new(200, rows.serialize_json()).with_header("content-type", "application/json")
}

impl Leadership {
    /// The nodes whose sessions stand.
    pub fn members(&self) -> HttpResponse {
        let now = self.env.now();
        let rows = self.seats.borrow();
        let row = |s: &super::NodeRecord| Member {
            name: s.node.name.clone(),
            area: s.node.zone.clone(),
            peer: s.node.peer.clone(),
            http: s.node.http.clone(),
            parent: s.node.parent.clone(),
            depth: u64::from(s.node.depth),
            heard_ms: now.saturating_sub(s.heard).as_millis() as u64,
        };
        json(rows.values().map(row).collect())
    }

    /// The servers as last told.
    pub fn server_rows(&self) -> HttpResponse {
        let now = self.env.now();
        let image = self.consensus.image();
        let rows = self.servers.borrow();
        let row = |(name, t): (&String, &super::ServerRecord)| ServerRow {
            name: name.clone(),
            group: image.as_ref().and_then(|i| i.group_of(name)).map(|g| g.name.clone()).unwrap_or_default(),
            area: t.area.clone(),
            addr: t.addr.clone(),
            draining: t.draining,
            gone: t.gone,
            cold: t.cold,
            heard_ms: now.saturating_sub(t.heard).as_millis() as u64,
            position: self.seen.borrow().get(name).map(|s| s.place.to_string()).unwrap_or_default(),
        };
        json(rows.iter().map(row).collect())
    }

    /// Who leads each group.
    pub fn lead_rows(&self) -> HttpResponse {
        let image = self.consensus.image();
        let rows = self.standings().into_iter().map(|(group, s)| LeadRow {
            server: image.as_ref().and_then(|i| i.election(&group)).map(|e| e.server.clone()).unwrap_or_default(),
            group,
            line: s.line,
            granting: s.granting,
            proven: s.proven,
            why: s.why,
        });
        json(rows.collect())
    }

    /// Which shares are out.
    pub fn grant_rows(&self) -> HttpResponse {
        let rows = self.leases.borrow().out(self.env.now());
        json(rows.into_iter().map(|(server, node, count)| GrantRow { server, node, count }).collect())
    }
}
