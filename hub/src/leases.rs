//! Leases that the leading control node has out: shares of servers' connections, and the right to use a group's primary.
//! Leases name the run of the node's process that they were given to, so that word of an earlier run changes nothing.

use std::{collections::BTreeMap, time::Duration};

use wire::{NodeHeartbeat, OutstandingLease};

/// Connections of each server that control nodes keep for reading positions.
const RESERVED_CONNECTIONS: u64 = 3;

/// In which part of a lease's span the shares of a server are worked out anew.
const DIVISIONS_PER_LEASE: u32 = 16;

/// The most that one node gets of a scarce server which guards its own cap, as a part of the cap.
const SCARCE_CAP_DIVISOR: u64 = 8;

/// How many connections nodes may share out, by the cap and how cold the server is.
pub fn cap(cap: u64, cold: f64) -> u64 {
    let available = cap.saturating_sub(RESERVED_CONNECTIONS).max(1);
    ((available as f64 * (1.0 - cold)).floor() as u64).clamp(1, available)
}

/// The run of a node's process that gets a lease, and the heartbeat that the lease answers.
#[derive(Clone, Copy, Debug)]
pub struct Holder<'a> {
    pub node: &'a str,
    /// A random number of the run.
    pub boot: u64,
    pub nonce: u64,
}

/// What a node gets of a server's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    pub count: u64,
    /// More nodes want a connection than there are: one that rests is to be given back soon.
    pub scarce: bool,
    /// How many nodes share the server's connections.
    pub sharers: u64,
}

/// A share of a server's connections that may be out.
#[derive(Clone, Default)]
struct ShareLease {
    boot_id: u64,
    count: u64,
    expires_at: Duration,
    wanted: u64,
    /// The heartbeat that the newest return answered.
    nonce: u64,
    /// When the want was last told.
    wanted_at: Duration,
}

/// The right to use a group's primary, as it may be out.
#[derive(Clone, Copy)]
struct PrimaryLease {
    boot_id: u64,
    nonce: u64,
    expires_at: Duration,
}

/// How a server's connections are divided among nodes, by what they want.
struct Division {
    expires_at: Duration,
    cap: u64,
    parts: BTreeMap<String, u64>,
}

/// What has been given to whom and until when it counts as out.
#[derive(Default)]
pub struct LeaseTable {
    /// Before this an earlier leader's leases may stand.
    unknown_shares_until: Duration,
    /// Before this an earlier leader's leases on primaries may stand, beside those that are noted.
    unknown_primaries_until: Duration,
    shares: BTreeMap<String, BTreeMap<String, ShareLease>>,
    /// Worked out once a while for all nodes, not for each.
    divisions: BTreeMap<String, Division>,
    primaries: BTreeMap<String, BTreeMap<String, PrimaryLease>>,
}

impl LeaseTable {
    /// A table whose unknown leases have run out at `grace`.
    pub fn new(grace: Duration) -> Self {
        Self { unknown_shares_until: grace, unknown_primaries_until: grace, ..Self::default() }
    }

    /// A table that takes on the leases on primaries which the leader before told of at `at`.
    pub fn inherit(grace: Duration, at: Duration, left: &[OutstandingLease]) -> Self {
        let mut table = Self { unknown_shares_until: grace, ..Self::default() };
        for lease in left {
            if lease.group.is_empty() {
                table.unknown_primaries_until = at + Duration::from_millis(lease.remaining_ms);
                continue;
            }
            let holder = Holder { node: &lease.node, boot: lease.boot_id, nonce: lease.nonce };
            table.give_primary(&lease.group, holder, at + Duration::from_millis(lease.remaining_ms));
        }
        table
    }

    /// The leases on primaries that may still stand, for a successor. Only one that knows of all can tell.
    pub fn left(&self, now: Duration) -> Vec<OutstandingLease> {
        let mut out = Vec::new();
        if self.unknown_primaries_until > now {
            // Of a holder earlier still, nobody knows which nodes have any.
            let remaining_ms = (self.unknown_primaries_until - now).as_millis() as u64 + 1;
            out.push(OutstandingLease { remaining_ms, ..OutstandingLease::default() });
        }
        for (group, holders) in &self.primaries {
            for (node, lease) in holders.iter().filter(|(_, lease)| now < lease.expires_at) {
                let remaining_ms = (lease.expires_at - now).as_millis() as u64 + 1;
                let (node, boot_id, nonce) = (node.clone(), lease.boot_id, lease.nonce);
                out.push(OutstandingLease { group: group.clone(), node, nonce, remaining_ms, boot_id });
            }
        }
        out
    }

    /// Takes in what a node says it still holds. Word of one run of its process lowers only what that run was given; what
    /// an earlier run was given runs out by itself.
    pub fn told(&mut self, beat: &NodeHeartbeat, now: Duration) {
        for held in &beat.shares {
            let lease = self.shares.entry(held.server.clone()).or_default().entry(beat.name.clone()).or_default();
            lease.wanted = held.want;
            lease.wanted_at = now;
            // A heartbeat tells of the past: only a count it holds after the newest return lowers what is out.
            if held.count < lease.count && beat.boot_id == lease.boot_id && beat.last_ack_nonce >= lease.nonce {
                lease.count = held.count;
            }
            if now < self.unknown_shares_until {
                lease.count = lease.count.max(held.count);
            }
        }
        for (group, holders) in &mut self.primaries {
            let Some(lease) = holders.get(&beat.name).filter(|lease| lease.boot_id == beat.boot_id) else { continue };
            let handed_back =
                beat.last_ack_nonce > lease.nonce && !beat.primary_leases.iter().any(|l| l.group == *group);
            if beat.leaving || handed_back {
                holders.remove(&beat.name);
            }
        }
        if beat.leaving {
            for holders in self.shares.values_mut() {
                if holders.get(&beat.name).is_some_and(|lease| lease.boot_id == beat.boot_id) {
                    holders.remove(&beat.name);
                }
            }
        }
    }

    /// Notes a lease on a group's primary.
    pub fn give_primary(&mut self, group: &str, holder: Holder, until: Duration) {
        let lease = PrimaryLease { boot_id: holder.boot, nonce: holder.nonce, expires_at: until };
        self.primaries.entry(group.into()).or_default().insert(holder.node.into(), lease);
    }

    /// Whether no lease on a group's primary can still stand.
    pub fn primary_free(&self, group: &str, now: Duration) -> bool {
        now >= self.unknown_primaries_until && self.primary_holders(group, now).is_empty()
    }

    /// As [`LeaseTable::primary_free`]; where no earlier leader can have given any for another server (`known`), only
    /// this one's count.
    pub fn primary_released(&self, group: &str, now: Duration, known: bool) -> bool {
        (known || now >= self.unknown_primaries_until) && self.primary_holders(group, now).is_empty()
    }

    /// The nodes that may hold a lease on a group's primary, as far as this leader knows.
    pub fn primary_holders(&self, group: &str, now: Duration) -> Vec<String> {
        let leases = self.primaries.get(group).into_iter().flatten();
        leases.filter(|(_, lease)| now < lease.expires_at).map(|(node, _)| node.clone()).collect()
    }

    /// Gives a node its share of a server. `soft`: the server itself turns away what is over its cap, so that every node
    /// may try where connections are scarce; else never more is given than is not out elsewhere.
    pub fn share(
        &mut self,
        server: &str,
        holder: Holder,
        cap: u64,
        now: Duration,
        until: Duration,
        server_enforces_cap: bool,
    ) -> Share {
        let inherited_unknown = now < self.unknown_shares_until;
        let leases = self.shares.entry(server.into()).or_default();
        let lease = leases.entry(holder.node.into()).or_default();
        if now >= lease.expires_at && !inherited_unknown {
            lease.count = 0;
        }
        let (held, wanted) = (lease.count, lease.wanted.max(1));
        let (fair_count, sharers) = self.fair_share(server, holder.node, cap, now, until);
        let scarce = sharers > cap;
        let count = match (inherited_unknown, server_enforces_cap) {
            (_, true) if scarce => wanted.min((cap / SCARCE_CAP_DIVISOR).max(1)),
            (false, _) => fair_count.min(cap.saturating_sub(self.held_by_others(server, holder.node, now))),
            (true, false) => held.min(cap),
            // What is out besides can't be known yet.
            (true, true) => held.max(fair_count).min(cap),
        };
        let lease = self.shares.entry(server.into()).or_default().entry(holder.node.into()).or_default();
        // What was given stays out until the node tells that it holds less, or until it has run out.
        lease.count = lease.count.max(count);
        lease.expires_at = until;
        lease.nonce = holder.nonce;
        lease.boot_id = holder.boot;
        Share { count, scarce, sharers }
    }

    /// How many connections of a server other nodes may hold.
    fn held_by_others(&self, server: &str, node: &str, now: Duration) -> u64 {
        let leases = self.shares.get(server).into_iter().flatten().filter(|(name, _)| *name != node);
        leases.filter(|(_, lease)| now < lease.expires_at).map(|(_, lease)| lease.count).sum()
    }

    /// A node's part of a server's connections, by what all nodes want, and among how many they are divided.
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

    /// Works out the parts of all nodes that told of a server lately, and forgets the others.
    fn divide(&mut self, server: &str, cap: u64, now: Duration, until: Duration) -> Division {
        let lease_duration = until - now;
        let leases = self.shares.entry(server.into()).or_default();
        leases.retain(|_, lease| now < lease.expires_at.max(lease.wanted_at + lease_duration));
        let demands: Vec<(&str, u64)> = leases.iter().map(|(name, lease)| (name.as_str(), lease.wanted)).collect();
        let rotation = now.as_millis() / lease_duration.as_millis().max(1);
        let scarce = demands.len() as u64 > cap;
        let parts = if scarce { divide_in_rotation(&demands, cap, rotation) } else { divide_fairly(&demands, cap) };
        Division { expires_at: now + lease_duration / DIVISIONS_PER_LEASE, cap, parts }
    }

    /// What is out now: server, node, count.
    pub fn out(&self, now: Duration) -> Vec<(String, String, u64)> {
        let shares = self
            .shares
            .iter()
            .flat_map(|(server, leases)| leases.iter().map(move |(node, lease)| (server, node, lease)));
        shares
            .filter(|(_, _, lease)| now < lease.expires_at)
            .map(|(server, node, lease)| (server.clone(), node.clone(), lease.count))
            .collect()
    }
}

/// Divides a cap by wants: everyone gets what it wants up to an even part, the rest goes to those who want more.
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

/// Gives one connection each to as many nodes as there are connections; with each turn to the next ones.
fn divide_in_rotation(demands: &[(&str, u64)], cap: u64, rotation: u128) -> BTreeMap<String, u64> {
    let nodes = demands.len().max(1);
    let first_index = (rotation * u128::from(cap) % nodes as u128) as usize;
    let offset = |index: usize| (index + nodes - first_index) % nodes;
    let count = |index: usize| u64::from((offset(index) as u64) < cap);
    demands.iter().enumerate().map(|(index, (name, _))| (name.to_string(), count(index))).collect()
}
