//! The settings of a process, from its settings file and flags, and their check.

use std::net::SocketAddr;

use crate::{Bounds, strict};

strict! {
    /// The settings file of either program.
    pub struct Settings {
        /// This process's name, unique within the deployment.
        pub name: String,
        /// The zone of this process.
        pub area: String,
        /// Address for clients, servers and operators.
        pub http: String,
        /// Address for links from other processes.
        pub peer: String,
        /// Peer addresses of the control nodes.
        pub seeds: Vec<String>,
        /// The data folder; on control nodes only.
        pub data: Option<String> = None,
        /// Address of the platform, which starts machines and promotes servers; used by control nodes.
        pub platform: Option<String> = None,
        /// Log level: error, warn, info or debug.
        pub log: String = "info".to_string(),
        pub bounds: BoundSettings = BoundSettings::default(),
        pub policy: PolicySettings = PolicySettings::default(),
        /// How many client sessions may be open at once.
        pub most_sessions: u64 = 4000,
        /// The largest request body, in bytes.
        pub most_body: u64 = 1 << 20,
        /// How many requests may wait for a connection to one server.
        pub most_inbox: u64 = 256,
        /// Whether a node goes on serving clients while its own zone is evacuated.
        pub keep_on: bool = false,
        /// Whether this may be the first start of the whole deployment, with empty disks.
        pub first_start: bool = true,
        /// How many control nodes may be lost at once; one more than twice as many are members of the consensus.
        pub losses: u64 = 1,
        /// All zones that operators may name; if empty, those that servers and nodes report.
        pub zones: Vec<String> = Vec::new(),
    }
}

strict! {
    /// The configurable time bounds, in milliseconds; [`Bounds`] describes each.
    pub struct BoundSettings {
        pub blueprint_ms: u64 = 3000,
        pub fresh_ms: u64 = 1500,
        pub empty_ms: u64 = 5000,
        pub drain_ms: u64 = 7000,
        pub back_ms: u64 = 12000,
    }
}

strict! {
    /// The parameters of the selection policy.
    pub struct PolicySettings {
        /// Time between two evaluations.
        pub eval_interval_ms: u64 = 5_000,
        /// A server with this share of failed requests, or a higher one, is not eligible.
        pub max_error_rate: f64 = 0.7,
        /// A server that is this many log positions behind, or more, is not eligible.
        pub max_lag: u64 = 10,
        /// With fewer healthy servers than this, all servers are eligible.
        pub min_healthy: u64 = 1,
        /// The period over which requests are counted.
        pub window_ms: u64 = 10_000,
        /// Whether each kind of statement (by its label) has an eligible set of its own.
        pub per_kind: bool = false,
        /// How long past decisions are kept.
        pub history_ms: u64 = 3_600_000,
        /// Whether servers that are not eligible get a few requests at intervals, so that they are measured again.
        pub resample: bool = false,
        /// Time between two resamplings.
        pub resample_interval_ms: u64 = 300_000,
        /// How many requests each of those servers gets in a resampling.
        pub resample_count: u64 = 10,
        /// Names of the servers in the fallback group.
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

/// The checked settings of a process.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    pub name: String,
    pub zone: String,
    /// Address for clients, servers and operators.
    pub http: SocketAddr,
    /// Address for links from other processes.
    pub peer: SocketAddr,
    /// Peer addresses of the control nodes.
    pub seeds: Vec<SocketAddr>,
    pub platform: Option<SocketAddr>,
    pub bounds: Bounds,
    pub policy: PolicySettings,
    pub max_sessions: usize,
    pub max_body_bytes: usize,
    /// How many requests may wait for a connection to one server.
    pub max_queued: usize,
    /// Whether to go on serving clients while the own zone is evacuated.
    pub serve_in_evacuated_zone: bool,
    /// Whether this may be the first start of the whole deployment.
    pub first_start: bool,
    /// How many control nodes may be lost at once.
    pub tolerated_losses: usize,
    pub zones: Vec<String>,
}

/// How many control nodes a settings file may name. It may name fewer, if fewer of them are in service at that time.
const MAX_SEEDS: usize = 3;

/// Parses a settings file; the error names line, column and field. Values are checked by [`Settings::check`].
pub fn read(text: &[u8]) -> Result<Settings, String> {
    crate::strict::read(text).map_err(|e| e.to_string())
}

/// How many zones a settings file may list.
const MAX_ZONES: usize = 1000;

fn zone_faults(zones: &[String]) -> Vec<String> {
    let mut faults = Vec::new();
    if zones.len() > MAX_ZONES {
        faults.push(format!("zones: {} of at most {MAX_ZONES}", zones.len()));
    }
    let mut seen = std::collections::BTreeSet::new();
    for zone in zones {
        if zone.is_empty() || zone.len() > 64 {
            faults.push(format!("zones: {zone:?}: must have 1 to 64 characters"));
        }
        if !seen.insert(zone) {
            faults.push(format!("zones: {zone:?} is named twice"));
        }
    }
    faults
}

impl Settings {
    /// Checks all fields; the error lists every fault with the name of its field.
    pub fn check(&self) -> Result<NodeConfig, Vec<String>> {
        let mut faults = Vec::new();
        let mut address = |field: &str, text: &str| match text.parse::<SocketAddr>() {
            Ok(address) => address,
            Err(_) => {
                faults.push(format!("{field}: {text:?} is not an IP address with a port"));
                SocketAddr::from(([0, 0, 0, 0], 0))
            }
        };
        let http = address("http", &self.http);
        let peer = address("peer", &self.peer);
        let seeds: Vec<_> = self.seeds.iter().map(|s| address("seeds", s)).collect();
        let platform = self.platform.as_ref().map(|p| address("platform", p));
        let mut check_range = |field: &str, value: u64, min: u64, max: u64| {
            if !(min..=max).contains(&value) {
                faults.push(format!("{field}: {value} is not within {min} to {max}"));
            }
        };
        let bounds = &self.bounds;
        check_range("bounds.blueprint_ms", bounds.blueprint_ms, 300, 600_000);
        check_range("bounds.fresh_ms", bounds.fresh_ms, 60, 600_000);
        check_range("bounds.empty_ms", bounds.empty_ms, 300, 600_000);
        check_range("bounds.drain_ms", bounds.drain_ms, 300, 600_000);
        check_range("bounds.back_ms", bounds.back_ms, 300, 600_000);
        let policy = &self.policy;
        check_range("policy.eval_interval_ms", policy.eval_interval_ms, 100, 3_600_000);
        check_range("policy.window_ms", policy.window_ms, 100, 3_600_000);
        check_range("policy.max_lag", policy.max_lag, 1, u64::MAX);
        check_range("policy.min_healthy", policy.min_healthy, 1, 100);
        check_range("policy.history_ms", policy.history_ms, 1000, 86_400_000);
        check_range("policy.resample_interval_ms", policy.resample_interval_ms, 100, 86_400_000);
        check_range("policy.resample_count", policy.resample_count, 1, 10_000);
        check_range("most_sessions", self.most_sessions, 1, 1_000_000);
        check_range("most_body", self.most_body, 1024, 1 << 28);
        check_range("losses", self.losses, 1, 4);
        check_range("most_inbox", self.most_inbox, 1, 100_000);
        if !(0.0..=1.0).contains(&policy.max_error_rate) {
            faults.push(format!("policy.max_error_rate: {} is not within 0 to 1", policy.max_error_rate));
        }
        for (field, text) in [("name", &self.name), ("area", &self.area)] {
            if text.is_empty() || text.len() > 64 {
                faults.push(format!("{field}: must have 1 to 64 characters"));
            }
        }
        faults.extend(zone_faults(&self.zones));
        if !(1..=MAX_SEEDS).contains(&seeds.len()) {
            faults.push(format!("seeds: {} addresses, but there must be 1 to {MAX_SEEDS}", seeds.len()));
        }
        if !["error", "warn", "info", "debug"].contains(&self.log.as_str()) {
            faults.push(format!("log: {:?} is not error, warn, info or debug", self.log));
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        Ok(NodeConfig {
            name: self.name.clone(),
            zone: self.area.clone(),
            http,
            peer,
            seeds,
            platform,
            bounds: Bounds {
                blueprint: bounds.blueprint_ms,
                fresh: bounds.fresh_ms,
                empty: bounds.empty_ms,
                drain: bounds.drain_ms,
                back: bounds.back_ms,
                ..Bounds::default()
            },
            policy: policy.clone(),
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
