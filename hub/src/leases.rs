//! Leases that the leader has granted: shares of servers' connections, and the right to use a group's primary.
//!
//! Each lease carries the boot id of the node's process that it was granted to, so that a delayed heartbeat of an
//! earlier process changes nothing.

use std::{collections::BTreeMap, time::Duration};

use wire::{NodeHeartbeat, OutstandingLease};

/// Connections of each server that are reserved for control nodes, which sample positions over them.
const RESERVED_CONNECTIONS: u64 = 3;

/// How often per lease duration the division of a server's connections is computed again.
const DIVISIONS_PER_LEASE: u32 = 16;

/// Where connections are scarce and the server enforces its own cap, one node gets at most this fraction of the cap.
const SCARCE_CAP_DIVISOR: u64 = 8;

/// How many connections of a server are divided among nodes; `cold` runs from 0 (warm) to 1. At least 1.
pub fn shareable_connections(cap: u64, cold: f64) -> u64 {
    let available = cap.saturating_sub(RESERVED_CONNECTIONS).max(1);
    ((available as f64 * (1.0 - cold)).floor() as u64).clamp(1, available)
}

/// The node process that a lease is granted to, and the heartbeat that the grant answers.
#[derive(Clone, Copy, Debug)]
pub struct Holder<'a> {
    /// The node's name.
    pub node: &'a str,
    /// The random boot id of the node's process.
    pub boot_id: u64,
    /// The nonce of the heartbeat.
    pub nonce: u64,
}

/// A node's share of a server's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// How many connections the node may open.
    pub count: u64,
    /// More nodes than there are connections want one, so an idle connection should be released soon.
    pub scarce: bool,
    /// How many nodes share the server's connections.
    pub sharers: u64,
}

/// A share of a server's connections that may be outstanding.
#[derive(Clone, Default)]
struct ShareLease {
    boot_id: u64,
    count: u64,
    expires_at: Duration,
    /// How many connections the node wants.
    wanted: u64,
    /// The nonce of the heartbeat that the latest acknowledgement answered.
    nonce: u64,
    /// When the node last reported `wanted`.
    wanted_at: Duration,
}

/// A right to use a group's primary that may be outstanding.
#[derive(Clone, Copy)]
struct PrimaryLease {
    boot_id: u64,
    nonce: u64,
    expires_at: Duration,
}

/// How a server's connections are divided among the nodes that want them.
struct Division {
    expires_at: Duration,
    cap: u64,
    parts: BTreeMap<String, u64>,
}

/// The shares of one server's connections that may be outstanding.
#[derive(Default)]
struct ServerShares {
    /// By node.
    leases: BTreeMap<String, ShareLease>,
    /// The sum of the counts, those of expired leases included that are not removed yet.
    total: u64,
}

impl ServerShares {
    /// Changes a node's lease, which is added if there is none. Looks a node up before it copies the name, as this runs
    /// for each server with each heartbeat.
    fn update<T>(&mut self, node: &str, change: impl FnOnce(&mut ShareLease) -> T) -> T {
        if !self.leases.contains_key(node) {
            self.leases.insert(node.into(), ShareLease::default());
        }
        let lease = self.leases.get_mut(node).expect("the lease was inserted");
        let before = lease.count;
        let result = change(lease);
        self.total = self.total - before + lease.count;
        result
    }

    /// Keeps the leases that fulfil a condition.
    fn retain(&mut self, mut condition: impl FnMut(&str, &ShareLease) -> bool) {
        self.leases.retain(|node, lease| condition(node, lease));
        self.total = self.leases.values().map(|lease| lease.count).sum();
    }

    /// How many of `wanted` connections other nodes leave over of a server's `cap`.
    fn left_over(&self, node: &str, wanted: u64, cap: u64, now: Duration) -> u64 {
        let own = self.leases.get(node).map_or(0, |lease| lease.count);
        if wanted <= cap.saturating_sub(self.total - own) {
            return wanted;
        }
        // Expired leases may count in the total.
        let others = self.leases.iter().filter(|(name, lease)| *name != node && now < lease.expires_at);
        wanted.min(cap.saturating_sub(others.map(|(_, lease)| lease.count).sum()))
    }
}

/// All granted leases, with their holders and expiry times.
#[derive(Default)]
pub struct LeaseTable {
    /// Until then shares that an earlier leader granted may be in force.
    unknown_shares_until: Duration,
    /// Until then leases on primaries that an earlier leader granted may be in force, besides those in the table.
    unknown_primaries_until: Duration,
    shares: BTreeMap<String, ServerShares>,
    /// Computed at intervals for all nodes together rather than for each heartbeat.
    divisions: BTreeMap<String, Division>,
    primaries: BTreeMap<String, BTreeMap<String, PrimaryLease>>,
}

impl LeaseTable {
    /// A table for a new leader; all leases of earlier leaders have expired at `expiry`.
    pub fn new(expiry: Duration) -> Self {
        Self { unknown_shares_until: expiry, unknown_primaries_until: expiry, ..Self::default() }
    }

    /// A table that starts with the leases on primaries that the previous leader reported at `reported_at`. An entry
    /// without a group states for how long unreported leases may still be in force.
    pub fn inherit(expiry: Duration, reported_at: Duration, reported: &[OutstandingLease]) -> Self {
        let mut table = Self { unknown_shares_until: expiry, ..Self::default() };
        for lease in reported {
            if lease.group.is_empty() {
                table.unknown_primaries_until = reported_at + Duration::from_millis(lease.remaining_ms);
                continue;
            }
            let holder = Holder { node: &lease.node, boot_id: lease.boot_id, nonce: lease.nonce };
            table.grant_primary(&lease.group, holder, reported_at + Duration::from_millis(lease.remaining_ms));
        }
        table
    }

    /// The leases on primaries that may still be in force, for the next leader. While there may be unreported ones, the
    /// first entry has no group and states their remaining time.
    pub fn outstanding_primary_leases(&self, now: Duration) -> Vec<OutstandingLease> {
        let mut outstanding = Vec::new();
        if self.unknown_primaries_until > now {
            // It is unknown which nodes hold leases of a leader before the previous one.
            let remaining_ms = (self.unknown_primaries_until - now).as_millis() as u64 + 1;
            outstanding.push(OutstandingLease { remaining_ms, ..OutstandingLease::default() });
        }
        for (group, holders) in &self.primaries {
            for (node, lease) in holders.iter().filter(|(_, lease)| now < lease.expires_at) {
                let remaining_ms = (lease.expires_at - now).as_millis() as u64 + 1;
                let (node, boot_id, nonce) = (node.clone(), lease.boot_id, lease.nonce);
                outstanding.push(OutstandingLease { group: group.clone(), node, nonce, remaining_ms, boot_id });
            }
        }
        outstanding
    }

    /// Processes what a node reports in a heartbeat that it holds. A heartbeat reduces only leases that were granted to
    /// the same process of the node; those of an earlier process expire.
    pub fn record_heartbeat(&mut self, heartbeat: &NodeHeartbeat, now: Duration) {
        for held in &heartbeat.shares {
            let inherited_unknown = now < self.unknown_shares_until;
            self.shares_of(&held.server).update(&heartbeat.name, |lease| {
                lease.wanted = held.wanted;
                lease.wanted_at = now;
                // A heartbeat describes the past: only a count that the node held after the latest acknowledgement
                // reduces the outstanding count.
                let is_later = heartbeat.boot_id == lease.boot_id && heartbeat.last_ack_nonce >= lease.nonce;
                if held.count < lease.count && is_later {
                    lease.count = held.count;
                }
                if inherited_unknown {
                    lease.count = lease.count.max(held.count);
                }
            });
        }
        for (group, holders) in &mut self.primaries {
            let Some(lease) = holders.get(&heartbeat.name).filter(|lease| lease.boot_id == heartbeat.boot_id) else {
                continue;
            };
            let handed_back = heartbeat.last_ack_nonce > lease.nonce
                && !heartbeat.primary_leases.iter().any(|granted| granted.group == *group);
            if heartbeat.leaving || handed_back {
                holders.remove(&heartbeat.name);
            }
        }
        if heartbeat.leaving {
            for shares in self.shares.values_mut() {
                shares.retain(|node, lease| node != heartbeat.name || lease.boot_id != heartbeat.boot_id);
            }
        }
    }

    /// Records a lease on a group's primary that expires at `until`.
    pub fn grant_primary(&mut self, group: &str, holder: Holder, until: Duration) {
        let lease = PrimaryLease { boot_id: holder.boot_id, nonce: holder.nonce, expires_at: until };
        self.primaries.entry(group.into()).or_default().insert(holder.node.into(), lease);
    }

    /// Whether no lease on a group's primary can be in force.
    pub fn primary_free(&self, group: &str, now: Duration) -> bool {
        now >= self.unknown_primaries_until && self.primary_holders(group, now).is_empty()
    }

    /// Like [`LeaseTable::primary_free`]. If no earlier leader can have granted a lease on another server
    /// (`no_unknown_leases`), only the leases in the table are considered.
    pub fn primary_released(&self, group: &str, now: Duration, no_unknown_leases: bool) -> bool {
        (no_unknown_leases || now >= self.unknown_primaries_until) && self.primary_holders(group, now).is_empty()
    }

    /// The nodes that may hold a lease on a group's primary according to the table.
    pub fn primary_holders(&self, group: &str, now: Duration) -> Vec<String> {
        let leases = self.primaries.get(group).into_iter().flatten();
        leases.filter(|(_, lease)| now < lease.expires_at).map(|(node, _)| node.clone()).collect()
    }

    /// Grants a node its share of a server until `until`. With `server_enforces_cap` the server itself rejects
    /// connections over its cap, so that every node may try where connections are scarce. Otherwise never more
    /// connections are granted than other nodes leave over.
    pub fn grant_share(
        &mut self,
        server: &str,
        holder: Holder,
        cap: u64,
        now: Duration,
        until: Duration,
        server_enforces_cap: bool,
    ) -> Share {
        let inherited_unknown = now < self.unknown_shares_until;
        let (held, wanted) = self.shares_of(server).update(holder.node, |lease| {
            if now >= lease.expires_at && !inherited_unknown {
                lease.count = 0;
            }
            (lease.count, lease.wanted.max(1))
        });
        let (fair_count, sharers) = self.fair_share(server, holder.node, cap, now, until);
        let scarce = sharers > cap;
        let count = match (inherited_unknown, server_enforces_cap) {
            (_, true) if scarce => wanted.min((cap / SCARCE_CAP_DIVISOR).max(1)),
            (false, _) => self.shares_of(server).left_over(holder.node, fair_count, cap, now),
            (true, false) => held.min(cap),
            // What other nodes hold is not known yet.
            (true, true) => held.max(fair_count).min(cap),
        };
        self.shares_of(server).update(holder.node, |lease| {
            // A granted count stays outstanding until the node reports that it holds less, or until the lease has
            // expired.
            lease.count = lease.count.max(count);
            lease.expires_at = until;
            lease.nonce = holder.nonce;
            lease.boot_id = holder.boot_id;
        });
        Share { count, scarce, sharers }
    }

    /// The shares of a server.
    fn shares_of(&mut self, server: &str) -> &mut ServerShares {
        if !self.shares.contains_key(server) {
            self.shares.insert(server.into(), ServerShares::default());
        }
        self.shares.get_mut(server).expect("the server was inserted")
    }

    /// A node's fair share of a server's connections, and the number of nodes among which they are divided.
    fn fair_share(&mut self, server: &str, node: &str, cap: u64, now: Duration, until: Duration) -> (u64, u64) {
        let is_current = |division: &&Division| {
            now < division.expires_at && division.cap == cap && division.parts.contains_key(node)
        };
        if self.divisions.get(server).filter(is_current).is_none() {
            let division = self.divide(server, cap, now, until);
            self.divisions.insert(server.into(), division);
        }
        let division = self.divisions.get(server);
        division
            .map_or((0, 1), |division| (division.parts.get(node).copied().unwrap_or(0), division.parts.len() as u64))
    }

    /// Divides a server's connections among all nodes that reported recently that they want some, and forgets the
    /// others.
    fn divide(&mut self, server: &str, cap: u64, now: Duration, until: Duration) -> Division {
        let lease_duration = until - now;
        let shares = self.shares_of(server);
        shares.retain(|_, lease| now < lease.expires_at.max(lease.wanted_at + lease_duration));
        let demands: Vec<(&str, u64)> =
            shares.leases.iter().map(|(name, lease)| (name.as_str(), lease.wanted)).collect();
        let rotation = now.as_millis() / lease_duration.as_millis().max(1);
        let scarce = demands.len() as u64 > cap;
        let parts = if scarce { divide_in_rotation(&demands, cap, rotation) } else { divide_fairly(&demands, cap) };
        Division { expires_at: now + lease_duration / DIVISIONS_PER_LEASE, cap, parts }
    }

    /// The outstanding shares: server, node, count.
    pub fn outstanding_shares(&self, now: Duration) -> Vec<(String, String, u64)> {
        let shares = self
            .shares
            .iter()
            .flat_map(|(server, shares)| shares.leases.iter().map(move |(node, lease)| (server, node, lease)));
        shares
            .filter(|(_, _, lease)| now < lease.expires_at)
            .map(|(server, node, lease)| (server.clone(), node.clone(), lease.count))
            .collect()
    }
}

/// Divides a cap max-min fairly: each node gets what it wants up to an even share, and the rest goes to the nodes that
/// want more.
fn divide_fairly(demands: &[(&str, u64)], cap: u64) -> BTreeMap<String, u64> {
    let mut sorted: Vec<(u64, &str)> = demands.iter().map(|(name, wanted)| ((*wanted).max(1), *name)).collect();
    sorted.sort();
    let mut remaining = cap;
    let mut remaining_nodes = sorted.len() as u64;
    let mut parts = BTreeMap::new();
    for (wanted, name) in sorted {
        let count = wanted.min(remaining / remaining_nodes.max(1));
        parts.insert(name.to_string(), count);
        remaining -= count;
        remaining_nodes -= 1;
    }
    parts
}

/// Gives one connection each to as many nodes as there are connections; with each rotation to the next nodes.
fn divide_in_rotation(demands: &[(&str, u64)], cap: u64, rotation: u128) -> BTreeMap<String, u64> {
    let nodes = demands.len().max(1);
    let first_index = (rotation * u128::from(cap) % nodes as u128) as usize;
    let offset = |index: usize| (index + nodes - first_index) % nodes;
    let count = |index: usize| u64::from((offset(index) as u64) < cap);
    demands.iter().enumerate().map(|(index, (name, _))| (name.to_string(), count(index))).collect()
}
