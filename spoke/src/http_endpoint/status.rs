use std::{rc::Rc, time::Duration};

use base::{http::HttpResponse, loop_lag::LoopLag, metrics, strict};
use nanoserde::SerJson;
use wire::relay::Relay;

use crate::execution::ExecutionContext;

strict! {
    /// A spoke's state in short.
    pub struct Status {
        pub name: String,
        pub area: String,
        pub serving: bool,
        pub why: String,
        pub sequence: u64,
        pub confirmed_ms: Option<u64>,
        pub fed: bool,
        pub parent: String,
        pub depth: u64,
        pub children: Vec<String>,
        pub leads: Vec<PrimaryLeaseRow>,
        pub emptied: Vec<String>,
        pub pools: Vec<PoolRow>,
        pub counts: Counts,
    }
}

strict! {
    /// A leader grant.
    pub struct PrimaryLeaseRow {
        pub group: String,
        pub server: String,
        pub line: u64,
        pub left_ms: u64,
    }
}

strict! {
    /// The connections to one server.
    pub struct PoolRow {
        pub server: String,
        pub share: u64,
        pub open: u64,
        pub used: u64,
        pub waiting: u64,
        pub lag: u64,
        pub position: String,
        pub draining: bool,
        pub gone: bool,
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
    /// A standing list with the weights inside it.
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
    /// How a server fared.
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

/// Answers what operators look at on this very node.
pub struct StatusPages {
    pub context: Rc<ExecutionContext>,
    pub relay: Rc<Relay>,
    pub loop_lag: Rc<LoopLag>,
}

fn json(out: &impl SerJson) -> HttpResponse {
    HttpResponse::new(200, out.serialize_json()).with_header("content-type", "application/json")
}

fn ms(d: Duration) -> u64 {
    d.as_millis() as u64
}

impl StatusPages {
    /// The page of a path, if it is one of this node's own.
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
        let t = &self.context.counters;
        Counts {
            reads: t.reads.get(),
            writes: t.writes.get(),
            refused: t.refused.get(),
            unknown: t.unknown.get(),
            retried: t.retried.get(),
            sessions: t.sessions.get(),
            evaluations: self.context.health.evaluation_count.get(),
            readings: self.context.health.position_reads.get(),
            corrupt: self.relay.corrupt_frames.get(),
            relayed: self.relay.forwarded_frames.get(),
        }
    }

    fn status(&self) -> Status {
        let now = self.context.env.now();
        let admit = self.context.router.check_admission();
        let view = self.context.journal.view();
        let (parent, depth) = self.relay.tree_position();
        let leads = view.primary_leases.iter().map(|(g, l)| PrimaryLeaseRow {
            group: g.clone(),
            server: l.server.clone(),
            line: l.epoch,
            left_ms: ms(l.valid_until.saturating_sub(now)),
        });
        let pools = self.context.pools.all().into_iter().map(|(name, p)| {
            let s = view.servers.get(&name).cloned().unwrap_or_default();
            let x = self.context.health.observation(&name);
            PoolRow {
                server: name,
                share: p.limit() as u64,
                open: p.open() as u64,
                used: p.in_use() as u64,
                waiting: p.waiting() as u64,
                lag: x.lag,
                position: x.position.to_string(),
                draining: s.draining_since.is_some(),
                gone: s.gone_since.is_some(),
                cold: s.cold,
            }
        });
        Status {
            name: self.relay.identity.name.clone(),
            area: self.relay.identity.zone.clone(),
            serving: admit.is_ok(),
            why: admit.err().map(|k| k.to_string()).unwrap_or_default(),
            sequence: view.image.as_ref().map_or(0, |i| i.sequence),
            confirmed_ms: view.confirmed_at.map(|c| ms(now.saturating_sub(c))),
            fed: self.relay.reaches_leader(),
            parent,
            depth: u64::from(depth),
            children: self.relay.children(),
            leads: leads.collect(),
            emptied: view.evacuated_since.keys().cloned().collect(),
            pools: pools.collect(),
            counts: self.counts(),
        }
    }

    fn metrics(&self) -> HttpResponse {
        let c = self.counts();
        let news = &self.relay.snapshot_counters;
        let mut out = metrics::page(&[
            ("reads_total", "counter", "reads asked for", c.reads),
            ("writes_total", "counter", "writes asked for outside transactions", c.writes),
            ("refused_total", "counter", "requests refused with a time to come back", c.refused),
            ("unknown_total", "counter", "writes whose outcome can't be told", c.unknown),
            ("retried_total", "counter", "statements sent again elsewhere", c.retried),
            ("sessions_total", "counter", "sessions opened", c.sessions),
            ("evaluations_total", "counter", "evaluations of the selection policy, all lists together", c.evaluations),
            ("readings_total", "counter", "log positions asked for", c.readings),
            ("corrupt_frames_total", "counter", "links closed on a corrupt frame", c.corrupt),
            ("relayed_frames_total", "counter", "frames handed on for others", c.relayed),
            ("news_whole_total", "counter", "news that came whole", news.whole.get()),
            ("news_whole_bytes_total", "counter", "bytes of news that came whole", news.whole_bytes.get()),
            ("news_deltas_total", "counter", "news that came as a delta", news.deltas.get()),
            ("news_delta_bytes_total", "counter", "bytes of news that came as deltas", news.delta_bytes.get()),
            (
                "news_mismatches_total",
                "counter",
                "deltas that did not lead to what was published",
                news.mismatches.get(),
            ),
            ("news_requests_total", "counter", "requests to the parent for the whole news", news.requests.get()),
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
            ("loop_lag_ms", "gauge", "how late tasks ran when last measured", ms(self.loop_lag.newest())),
            ("loop_lag_worst_ms", "gauge", "how late tasks ran at worst", ms(self.loop_lag.worst())),
        ]);
        let mut text = String::from_utf8_lossy(&out.body).into_owned();
        for (what, help) in [
            ("share", "connections this node may open"),
            ("open", "connections open"),
            ("used", "connections in use"),
            ("waiting", "requests that wait for one"),
        ] {
            text.push_str(&metrics::header_lines(&format!("connections_{what}"), "gauge", help));
        }
        for (name, p) in self.context.pools.all() {
            for (what, n) in [("share", p.limit()), ("open", p.open()), ("used", p.in_use()), ("waiting", p.waiting())]
            {
                text.push_str(&format!("portspoke_connections_{what}{{server=\"{name}\"}} {n}\n"));
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
        out.body = text.into();
        out
    }

    /// How many entries are kept under names that may come and go.
    fn entry_counts(&self) -> [(&'static str, usize); 9] {
        let view = self.context.journal.view();
        let [sights, heads, lists] = self.context.health.entry_counts();
        [
            ("sights", sights),
            ("heads", heads),
            ("lists", lists),
            ("servers", view.servers.len()),
            ("shares", view.shares.len()),
            ("leads", view.primary_leases.len()),
            ("zones", view.evacuated_since.len()),
            ("pools", self.context.pools.all().len()),
            ("routes", self.relay.routes()),
        ]
    }

    fn lists(&self) -> Vec<SelectionListRow> {
        let lists = self.context.health.lists.borrow();
        let row = |((database, kind), l): (&crate::health::ListKey, &crate::health::SelectionList)| SelectionListRow {
            database: database.clone(),
            kind: kind.clone(),
            eligible: l.eligible.set().map(<[_]>::to_vec).unwrap_or_default(),
            weights: l.weights.iter().map(|(s, w)| WeightRow { server: s.clone(), weight: *w }).collect(),
        };
        lists.iter().map(row).collect()
    }

    fn journal(&self) -> Vec<String> {
        let now = self.context.env.now();
        let lines = self.context.journal.lines();
        lines.into_iter().map(|(t, l)| format!("{} ms ago: {l}", ms(now.saturating_sub(t)))).collect()
    }

    /// The ring of past decisions of a database (`NAME` or `NAME/KIND`), newest first.
    fn decisions(&self, name: &str) -> Vec<DecisionRow> {
        let now = self.context.env.now();
        let (name, kind) = name.split_once('/').unwrap_or((name, "*"));
        let lists = self.context.health.lists.borrow();
        let Some(list) = lists.get(&(name.to_string(), kind.to_string())) else { return Vec::new() };
        let verdict = |v: &pick::ServerDecision| ServerDecisionRow {
            server: v.name.clone(),
            eligible: v.eligible,
            why: v.reason.as_str().into(),
            error_rate: v.metrics.error_rate,
            errors_total: v.metrics.errors_total,
            requests_total: v.metrics.requests_total,
            throttled_rate: v.metrics.throttled_rate,
            p90: v.metrics.p90,
            p95: v.metrics.p95,
            p99: v.metrics.p99,
            lag: v.metrics.lag,
        };
        let rows: Vec<_> = list.eligible.ring().collect();
        rows.into_iter()
            .rev()
            .map(|d| DecisionRow {
                ago_ms: ms(now.saturating_sub(d.at)),
                fault: d.error.clone(),
                servers: d.servers.iter().map(verdict).collect(),
            })
            .collect()
    }
}
