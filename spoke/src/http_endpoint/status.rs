//! The status pages and metrics of a node.

use std::{rc::Rc, time::Duration};

use base::{http::HttpResponse, loop_lag::LoopLag, metrics, strict};
use nanoserde::SerJson;
use wire::relay::Relay;

use crate::execution::ExecutionContext;

strict! {
    /// The node's state: the body of `/status`.
    pub struct Status {
        pub name: String,
        /// The node's zone.
        pub area: String,
        pub serving: bool,
        /// Why the node does not serve; empty while it does.
        pub why: String,
        pub sequence: u64,
        /// How long ago the leading control node last confirmed the node's snapshot as the newest.
        pub confirmed_ms: Option<u64>,
        /// Whether the node has a path to the leading control node.
        pub fed: bool,
        pub parent: String,
        pub depth: u64,
        pub children: Vec<String>,
        pub leads: Vec<PrimaryLeaseRow>,
        /// The evacuated zones.
        pub emptied: Vec<String>,
        pub pools: Vec<PoolRow>,
        pub counts: Counts,
    }
}

strict! {
    /// A primary lease.
    pub struct PrimaryLeaseRow {
        pub group: String,
        pub server: String,
        /// The epoch that the lease is for.
        pub line: u64,
        /// The remaining validity.
        pub left_ms: u64,
    }
}

strict! {
    /// The connections to one server, and the server's state.
    pub struct PoolRow {
        pub server: String,
        /// How many connections the node may open.
        pub share: u64,
        pub open: u64,
        pub used: u64,
        pub waiting: u64,
        pub lag: u64,
        pub position: String,
        pub draining: bool,
        /// Whether the server is reported unreachable.
        pub gone: bool,
        /// How cold the server's caches are, from 0 (warm) to 1.
        pub cold: f64,
    }
}

strict! {
    /// Counts since the start.
    pub struct Counts {
        pub reads: u64,
        pub writes: u64,
        pub refused: u64,
        pub unknown: u64,
        pub retried: u64,
        pub sessions: u64,
        pub evaluations: u64,
        pub readings: u64,
        pub corrupt: u64,
        pub relayed: u64,
    }
}

strict! {
    /// The eligible set of a database, with the weights of its servers.
    pub struct SelectionListRow {
        pub database: String,
        pub kind: String,
        pub eligible: Vec<String>,
        pub weights: Vec<WeightRow>,
    }
}

strict! {
    /// A server's weight.
    pub struct WeightRow {
        pub server: String,
        pub weight: f64,
    }
}

strict! {
    /// One past evaluation.
    pub struct DecisionRow {
        pub ago_ms: u64,
        pub fault: Option<String>,
        pub servers: Vec<ServerDecisionRow>,
    }
}

strict! {
    /// The decision about one server in an evaluation, with the metrics it is based on.
    pub struct ServerDecisionRow {
        pub server: String,
        pub eligible: bool,
        pub why: String,
        pub error_rate: f64,
        pub errors_total: u64,
        pub requests_total: u64,
        pub throttled_rate: f64,
        pub p90: f64,
        pub p95: f64,
        pub p99: f64,
        pub lag: u64,
    }
}

/// Serves the pages that describe the node itself.
pub struct StatusPages {
    pub context: Rc<ExecutionContext>,
    pub relay: Rc<Relay>,
    pub loop_lag: Rc<LoopLag>,
}

fn json(body: &impl SerJson) -> HttpResponse {
    HttpResponse::new(200, body.serialize_json()).with_header("content-type", "application/json")
}

fn ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

impl StatusPages {
    /// The page at a path; `None` if the path is not a status page.
    pub fn page(&self, path: &str) -> Option<HttpResponse> {
        match path {
            "/status" => Some(json(&self.status())),
            "/metrics" => Some(self.metrics()),
            "/lists" => Some(json(&self.lists())),
            "/journal" => Some(json(&self.journal())),
            _ => path.strip_prefix("/decisions/").map(|name| json(&self.decisions(name))),
        }
    }

    fn counts(&self) -> Counts {
        let counters = &self.context.counters;
        Counts {
            reads: counters.reads.get(),
            writes: counters.writes.get(),
            refused: counters.refused.get(),
            unknown: counters.unknown.get(),
            retried: counters.retried.get(),
            sessions: counters.sessions.get(),
            evaluations: self.context.health.evaluation_count.get(),
            readings: self.context.health.position_reads.get(),
            corrupt: self.relay.corrupt_frames.get(),
            relayed: self.relay.forwarded_frames.get(),
        }
    }

    fn status(&self) -> Status {
        let now = self.context.env.now();
        let admission = self.context.router.check_admission();
        let view = self.context.journal.view();
        let (parent, depth) = self.relay.tree_position();
        let leases = view.primary_leases.iter().map(|(group, lease)| PrimaryLeaseRow {
            group: group.clone(),
            server: lease.server.clone(),
            line: lease.epoch,
            left_ms: ms(lease.valid_until.saturating_sub(now)),
        });
        let pools = self.context.pools.all().into_iter().map(|(name, pool)| {
            let state = view.servers.get(&name).cloned().unwrap_or_default();
            let observation = self.context.health.observation(&name);
            PoolRow {
                server: name,
                share: pool.limit() as u64,
                open: pool.open() as u64,
                used: pool.in_use() as u64,
                waiting: pool.waiting() as u64,
                lag: observation.lag,
                position: observation.position.to_string(),
                draining: state.draining_since.is_some(),
                gone: state.gone_since.is_some(),
                cold: state.cold,
            }
        });
        Status {
            name: self.relay.identity.name.clone(),
            area: self.relay.identity.zone.clone(),
            serving: admission.is_ok(),
            why: admission.err().map(|k| k.to_string()).unwrap_or_default(),
            sequence: view.image.as_ref().map_or(0, |i| i.sequence),
            confirmed_ms: view.confirmed_at.map(|c| ms(now.saturating_sub(c))),
            fed: self.relay.reaches_leader(),
            parent,
            depth: u64::from(depth),
            children: self.relay.children(),
            leads: leases.collect(),
            emptied: view.evacuated_since.keys().cloned().collect(),
            pools: pools.collect(),
            counts: self.counts(),
        }
    }

    fn metrics(&self) -> HttpResponse {
        let counts = self.counts();
        let snapshots = &self.relay.snapshot_counters;
        let mut response = metrics::page(&[
            ("reads_total", "counter", "reads asked for", counts.reads),
            ("writes_total", "counter", "writes asked for outside transactions", counts.writes),
            ("refused_total", "counter", "requests refused with a time to come back", counts.refused),
            ("unknown_total", "counter", "writes whose outcome can't be told", counts.unknown),
            ("retried_total", "counter", "statements sent again elsewhere", counts.retried),
            ("sessions_total", "counter", "sessions opened", counts.sessions),
            (
                "evaluations_total",
                "counter",
                "evaluations of the selection policy, all lists together",
                counts.evaluations,
            ),
            ("readings_total", "counter", "log positions asked for", counts.readings),
            ("corrupt_frames_total", "counter", "links closed on a corrupt frame", counts.corrupt),
            ("relayed_frames_total", "counter", "frames handed on for others", counts.relayed),
            ("news_whole_total", "counter", "news that came whole", snapshots.full.get()),
            ("news_whole_bytes_total", "counter", "bytes of news that came whole", snapshots.full_bytes.get()),
            ("news_deltas_total", "counter", "news that came as a delta", snapshots.deltas.get()),
            ("news_delta_bytes_total", "counter", "bytes of news that came as deltas", snapshots.delta_bytes.get()),
            (
                "news_mismatches_total",
                "counter",
                "deltas that did not lead to what was published",
                snapshots.mismatches.get(),
            ),
            ("news_requests_total", "counter", "requests to the parent for the whole news", snapshots.requests.get()),
            (
                "parent_searches_failed_total",
                "counter",
                "searches for a parent without one",
                self.relay.search_counters.failed.get(),
            ),
            (
                "servers_without_share",
                "gauge",
                "servers that this node may open no connection to",
                self.context.pools.without_share() as u64,
            ),
            ("loop_lag_ms", "gauge", "how late tasks ran when last measured", ms(self.loop_lag.latest())),
            ("loop_lag_worst_ms", "gauge", "how late tasks ran at worst", ms(self.loop_lag.worst())),
        ]);
        let mut text = String::from_utf8_lossy(&response.body).into_owned();
        for (what, help) in [
            ("share", "connections this node may open"),
            ("open", "connections open"),
            ("used", "connections in use"),
            ("waiting", "requests that wait for one"),
        ] {
            text.push_str(&metrics::header_lines(&format!("connections_{what}"), "gauge", help));
        }
        for (name, pool) in self.context.pools.all() {
            for (what, count) in
                [("share", pool.limit()), ("open", pool.open()), ("used", pool.in_use()), ("waiting", pool.waiting())]
            {
                text.push_str(&format!("portspoke_connections_{what}{{server=\"{name}\"}} {count}\n"));
            }
        }
        text.push_str(&metrics::header_lines(
            "kept_entries",
            "gauge",
            "entries kept under the names of servers, groups and doorways",
        ));
        for (what, count) in self.entry_counts() {
            text.push_str(&format!("portspoke_kept_entries{{of=\"{what}\"}} {count}\n"));
        }
        response.body = text.into();
        response
    }

    /// The sizes of the collections whose keys are names of servers, groups, zones or routes, which may come and go.
    fn entry_counts(&self) -> [(&'static str, usize); 9] {
        let view = self.context.journal.view();
        let [observations, primary_positions, lists] = self.context.health.entry_counts();
        [
            ("sights", observations),
            ("heads", primary_positions),
            ("lists", lists),
            ("servers", view.servers.len()),
            ("shares", view.shares.len()),
            ("leads", view.primary_leases.len()),
            ("zones", view.evacuated_since.len()),
            ("pools", self.context.pools.all().len()),
            ("routes", self.relay.route_count()),
        ]
    }

    /// The lists of all databases; one without a list of its own has that of its group.
    fn lists(&self) -> Vec<SelectionListRow> {
        let lists = self.context.health.lists.borrow();
        let view = self.context.journal.view();
        let row = |database: &str, kind: &str, list: &crate::health::SelectionList| SelectionListRow {
            database: database.into(),
            kind: kind.into(),
            eligible: list.eligible.servers().map(<[_]>::to_vec).unwrap_or_default(),
            weights: list
                .weights
                .iter()
                .map(|(server, weight)| WeightRow { server: server.clone(), weight: *weight })
                .collect(),
        };
        let routes = view.image.iter().flat_map(|image| &image.routes);
        let rows = routes.flat_map(|route| {
            let of_database = lists.of_database(&route.name, &route.group).into_iter();
            of_database.map(|(kind, list)| row(&route.name, kind, list)).collect::<Vec<_>>()
        });
        rows.collect()
    }

    fn journal(&self) -> Vec<String> {
        let now = self.context.env.now();
        let lines = self.context.journal.lines();
        lines.into_iter().map(|(at, line)| format!("{} ms ago: {line}", ms(now.saturating_sub(at)))).collect()
    }

    /// The past evaluations of a database's list (`NAME` or `NAME/KIND`), newest first.
    fn decisions(&self, name: &str) -> Vec<DecisionRow> {
        let now = self.context.env.now();
        let (name, kind) = name.split_once('/').unwrap_or((name, "*"));
        let lists = self.context.health.lists.borrow();
        let view = self.context.journal.view();
        let Some(route) = view.route(name) else { return Vec::new() };
        let of_database = lists.of_database(name, &route.group);
        let Some((_, list)) = of_database.into_iter().find(|(own_kind, _)| *own_kind == kind) else {
            return Vec::new();
        };
        let server_row = |server: &pick::ServerDecision| ServerDecisionRow {
            server: server.name.clone(),
            eligible: server.eligible,
            why: server.reason.as_str().into(),
            error_rate: server.metrics.error_rate,
            errors_total: server.metrics.errors_total,
            requests_total: server.metrics.requests_total,
            throttled_rate: server.metrics.throttled_rate,
            p90: server.metrics.p90,
            p95: server.metrics.p95,
            p99: server.metrics.p99,
            lag: server.metrics.lag,
        };
        let decisions: Vec<_> = list.eligible.history().collect();
        decisions
            .into_iter()
            .rev()
            .map(|decision| DecisionRow {
                ago_ms: ms(now.saturating_sub(decision.at)),
                fault: decision.error.clone(),
                servers: decision.servers.iter().map(server_row).collect(),
            })
            .collect()
    }
}
