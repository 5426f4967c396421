//! What a process is told of its place, from a file or flags, and checked by field.

use std::net::SocketAddr;

use crate::{Bounds, strict};

strict! {
    /// The settings file of either program.
    pub struct Settings {
        /// This process's name; no other process has it.
        pub name: String,
        pub area: String,
        /// Where callers, back ends and operators come.
        pub http: String,
        /// Where other processes come.
        pub peer: String,
        /// Peer addresses of the control nodes.
        pub seeds: Vec<String>,
        /// The data folder, on control nodes.
        pub data: Option<String> = None,
        /// The platform that starts machines and names leaders.
        pub platform: Option<String> = None,
        pub log: String = "info".to_string(),
        pub bounds: BoundSettings = BoundSettings::default(),
        pub policy: PolicySettings = PolicySettings::default(),
        pub most_sessions: u64 = 4000,
        pub most_body: u64 = 1 << 20,
        pub most_inbox: u64 = 256,
        /// Whether a node serves callers on while its own area is emptied of servers.
        pub keep_on: bool = false,
        /// Whether the whole system may be starting for the first time, with empty disks.
        pub first_start: bool = true,
        /// How many control nodes may be lost at once; one more than twice as many agree.
        pub losses: u64 = 1,
        /// All zones that operators may name; with none listed, those that servers and nodes tell of.
        pub zones: Vec<String> = Vec::new(),
    }
}

strict! {
    /// The users' bounds, in milliseconds.
    pub struct BoundSettings {
        pub blueprint_ms: u64 = 3000,
        pub fresh_ms: u64 = 1500,
        pub empty_ms: u64 = 5000,
        pub drain_ms: u64 = 7000,
        pub back_ms: u64 = 12000,
    }
}

strict! {
    /// The selection policy's figures.
    pub struct PolicySettings {
        pub eval_interval_ms: u64 = 5_000,
        pub max_error_rate: f64 = 0.7,
        pub max_lag: u64 = 10,
        pub min_healthy: u64 = 1,
        pub window_ms: u64 = 10_000,
        pub per_kind: bool = false,
        pub history_ms: u64 = 3_600_000,
        pub resample: bool = false,
        pub resample_interval_ms: u64 = 300_000,
        pub resample_count: u64 = 10,
        pub fallback: Vec<String> = Vec::new(),
    }
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self { blueprint_ms: 3000, fresh_ms: 1500, empty_ms: 5000, drain_ms: 7000, back_ms: 12000 }
    }
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            eval_interval_ms: 5_000,
            max_error_rate: 0.7,
            max_lag: 10,
            min_healthy: 1,
            window_ms: 10_000,
            per_kind: false,
            history_ms: 3_600_000,
            resample: false,
            resample_interval_ms: 300_000,
            resample_count: 10,
            fallback: Vec::new(),
        }
    }
}

/// A process's checked place.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    pub name: String,
    pub zone: String,
    pub http: SocketAddr,
    pub peer: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub platform: Option<SocketAddr>,
    pub bounds: Bounds,
    pub policy: PolicySettings,
    pub max_sessions: usize,
    pub max_body_bytes: usize,
    pub max_queued: usize,
    pub serve_in_evacuated_zone: bool,
    pub first_start: bool,
    pub tolerated_losses: usize,
    pub zones: Vec<String>,
}

/// How many control nodes a settings file names at most; fewer where fewer serve just then.
const MOST_SEEDS: usize = 3;

/// Reads a settings file's text.
pub fn read(text: &[u8]) -> Result<Settings, String> {
    crate::strict::read(text).map_err(|e| e.to_string())
}

/// How many zones may be listed.
const MOST_ZONES: usize = 1000;

fn zone_faults(zones: &[String]) -> Vec<String> {
    let mut bad = Vec::new();
    if zones.len() > MOST_ZONES {
        bad.push(format!("zones: {} of at most {MOST_ZONES}", zones.len()));
    }
    let mut seen = std::collections::BTreeSet::new();
    for zone in zones {
        if zone.is_empty() || zone.len() > 64 {
            bad.push(format!("zones: {zone:?}: 1 to 64 characters belong here"));
        }
        if !seen.insert(zone) {
            bad.push(format!("zones: {zone:?} is named twice"));
        }
    }
    bad
}

impl Settings {
    /// Checks every field; the faults name theirs.
    pub fn check(&self) -> Result<NodeConfig, Vec<String>> {
        let mut bad = Vec::new();
        let mut addr = |field: &str, text: &str| match text.parse::<SocketAddr>() {
            Ok(a) => a,
            Err(_) => {
                bad.push(format!("{field}: {text:?} is not an IP address with a port"));
                SocketAddr::from(([0, 0, 0, 0], 0))
            }
        };
        let http = addr("http", &self.http);
        let peer = addr("peer", &self.peer);
        let seeds: Vec<_> = self.seeds.iter().map(|s| addr("seeds", s)).collect();
        let platform = self.platform.as_ref().map(|p| addr("platform", p));
        let mut range = |field: &str, n: u64, low: u64, high: u64| {
            if !(low..=high).contains(&n) {
                bad.push(format!("{field}: {n} is not within {low} to {high}"));
            }
        };
        let b = &self.bounds;
        range("bounds.blueprint_ms", b.blueprint_ms, 300, 600_000);
        range("bounds.fresh_ms", b.fresh_ms, 60, 600_000);
        range("bounds.empty_ms", b.empty_ms, 300, 600_000);
        range("bounds.drain_ms", b.drain_ms, 300, 600_000);
        range("bounds.back_ms", b.back_ms, 300, 600_000);
        let p = &self.policy;
        range("policy.eval_interval_ms", p.eval_interval_ms, 100, 3_600_000);
        range("policy.window_ms", p.window_ms, 100, 3_600_000);
        range("policy.max_lag", p.max_lag, 1, u64::MAX);
        range("policy.min_healthy", p.min_healthy, 1, 100);
        range("policy.history_ms", p.history_ms, 1000, 86_400_000);
        range("policy.resample_interval_ms", p.resample_interval_ms, 100, 86_400_000);
        range("policy.resample_count", p.resample_count, 1, 10_000);
        range("most_sessions", self.most_sessions, 1, 1_000_000);
        range("most_body", self.most_body, 1024, 1 << 28);
        range("losses", self.losses, 1, 4);
        range("most_inbox", self.most_inbox, 1, 100_000);
        if !(0.0..=1.0).contains(&p.max_error_rate) {
            bad.push(format!("policy.max_error_rate: {} is not within 0 to 1", p.max_error_rate));
        }
        for (field, text) in [("name", &self.name), ("area", &self.area)] {
            if text.is_empty() || text.len() > 64 {
                bad.push(format!("{field}: 1 to 64 characters belong here"));
            }
        }
        bad.extend(zone_faults(&self.zones));
        if !(1..=MOST_SEEDS).contains(&seeds.len()) {
            bad.push(format!("seeds: {} addresses, where 1 to {MOST_SEEDS} belong", seeds.len()));
        }
        if !["error", "warn", "info", "debug"].contains(&self.log.as_str()) {
            bad.push(format!("log: {:?} is not error, warn, info or debug", self.log));
        }
        if !bad.is_empty() {
            return Err(bad);
        }
        Ok(NodeConfig {
            name: self.name.clone(),
            zone: self.area.clone(),
            http,
            peer,
            seeds,
            platform,
            bounds: Bounds {
                blueprint: b.blueprint_ms,
                fresh: b.fresh_ms,
                empty: b.empty_ms,
                drain: b.drain_ms,
                back: b.back_ms,
                ..Bounds::default()
            },
            policy: p.clone(),
            max_sessions: self.most_sessions as usize,
            max_body_bytes: self.most_body as usize,
            max_queued: self.most_inbox as usize,
            serve_in_evacuated_zone: self.keep_on,
            first_start: self.first_start,
            tolerated_losses: self.losses as usize,
            zones: self.zones.clone(),
        })
    }
}
