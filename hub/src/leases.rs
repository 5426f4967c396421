//! Leases that the leading control node has out: shares of servers' connections, and the right to use a group's primary.
//! Leases name the run of the node's process that they were given to, so that word of an earlier run changes nothing.

use std::{collections::BTreeMap, time::Duration};

use wire::{NodeHeartbeat, OutstandingLease};

/// Connections of each server that control nodes keep for reading positions.
const KEPT_BACK: u64 = 3;

/// In which part of a lease's span the shares of a server are worked out anew.
const PARTS_PER_SPAN: u32 = 16;

/// The most that one node gets of a scarce server which guards its own cap, as a part of the cap.
const SCARCE_PARTS: u64 = 8;

/// How many connections nodes may share out, by the cap and how cold the server is.
pub fn cap(cap: u64, cold: f64) -> u64 {
    let all = cap.saturating_sub(KEPT_BACK).max(1);
    ((all as f64 * (1.0 - cold)).floor() as u64).clamp(1, all)
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
    boot: u64,
    count: u64,
    until: Duration,
    want: u64,
    /// The heartbeat that the newest return answered.
    nonce: u64,
    /// When the want was last told.
    told: Duration,
}

/// The right to use a group's primary, as it may be out.
#[derive(Clone, Copy)]
struct PrimaryLease {
    boot: u64,
    nonce: u64,
    until: Duration,
}

/// How a server's connections are divided among nodes, by what they want.
struct Division {
    until: Duration,
    cap: u64,
    parts: BTreeMap<String, u64>,
}

/// What has been given to whom and until when it counts as out.
#[derive(Default)]
pub struct LeaseTable {
    /// Before this an earlier leader's leases may stand.
    grace: Duration,
    /// Before this an earlier leader's leases on primaries may stand, beside those that are noted.
    doubt: Duration,
    shares: BTreeMap<String, BTreeMap<String, ShareLease>>,
    /// Worked out once a while for all nodes, not for each.
    divisions: BTreeMap<String, Division>,
    primaries: BTreeMap<String, BTreeMap<String, PrimaryLease>>,
}

impl LeaseTable {
    /// A table whose unknown leases have run out at `grace`.
    pub fn new(grace: Duration) -> Self {
        Self { grace, doubt: grace, ..Self::default() }
    }

    /// A table that takes on the leases on primaries which the leader before told of at `at`.
    pub fn inherit(grace: Duration, at: Duration, left: &[OutstandingLease]) -> Self {
        let mut me = Self { grace, ..Self::default() };
        for l in left {
            if l.group.is_empty() {
                me.doubt = at + Duration::from_millis(l.remaining_ms);
                continue;
            }
            let holder = Holder { node: &l.node, boot: l.boot_id, nonce: l.nonce };
            me.give_primary(&l.group, holder, at + Duration::from_millis(l.remaining_ms));
        }
        me
    }

    /// The leases on primaries that may still stand, for a successor. Only one that knows of all can tell.
    pub fn left(&self, now: Duration) -> Vec<OutstandingLease> {
        let mut out = Vec::new();
        if self.doubt > now {
            // Of a holder earlier still, nobody knows which nodes have any.
            let left = (self.doubt - now).as_millis() as u64 + 1;
            out.push(OutstandingLease { remaining_ms: left, ..OutstandingLease::default() });
        }
        for (group, all) in &self.primaries {
            for (node, lease) in all.iter().filter(|(_, lease)| now < lease.until) {
                let left = (lease.until - now).as_millis() as u64 + 1;
                let (node, boot, nonce) = (node.clone(), lease.boot, lease.nonce);
                out.push(OutstandingLease { group: group.clone(), node, nonce, remaining_ms: left, boot_id: boot });
            }
        }
        out
    }

    /// Takes in what a node says it still holds. Word of one run of its process lowers only what that run was given; what
    /// an earlier run was given runs out by itself.
    pub fn told(&mut self, beat: &NodeHeartbeat, now: Duration) {
        for held in &beat.shares {
            let lease = self.shares.entry(held.server.clone()).or_default().entry(beat.name.clone()).or_default();
            lease.want = held.want;
            lease.told = now;
            // A heartbeat tells of the past: only a count it holds after the newest return lowers what is out.
            if held.count < lease.count && beat.boot_id == lease.boot && beat.last_ack_nonce >= lease.nonce {
                lease.count = held.count;
            }
            if now < self.grace {
                lease.count = lease.count.max(held.count);
            }
        }
        for (group, all) in &mut self.primaries {
            let Some(lease) = all.get(&beat.name).filter(|lease| lease.boot == beat.boot_id) else { continue };
            let handed_back =
                beat.last_ack_nonce > lease.nonce && !beat.primary_leases.iter().any(|l| l.group == *group);
            if beat.leaving || handed_back {
                all.remove(&beat.name);
            }
        }
        if beat.leaving {
            for all in self.shares.values_mut() {
                if all.get(&beat.name).is_some_and(|lease| lease.boot == beat.boot_id) {
                    all.remove(&beat.name);
                }
            }
        }
    }

    /// Notes a lease on a group's primary.
    pub fn give_primary(&mut self, group: &str, to: Holder, until: Duration) {
        let lease = PrimaryLease { boot: to.boot, nonce: to.nonce, until };
        self.primaries.entry(group.into()).or_default().insert(to.node.into(), lease);
    }

    /// Whether no lease on a group's primary can still stand.
    pub fn primary_free(&self, group: &str, now: Duration) -> bool {
        now >= self.doubt && self.holders(group, now).is_empty()
    }

    /// As [`LeaseTable::primary_free`]; where no earlier leader can have given any for another server (`known`), only
    /// this one's count.
    pub fn primary_handed_back(&self, group: &str, now: Duration, known: bool) -> bool {
        (known || now >= self.doubt) && self.holders(group, now).is_empty()
    }

    /// The nodes that may hold a lease on a group's primary, as far as this leader knows.
    pub fn holders(&self, group: &str, now: Duration) -> Vec<String> {
        let all = self.primaries.get(group).into_iter().flatten();
        all.filter(|(_, lease)| now < lease.until).map(|(node, _)| node.clone()).collect()
    }

    /// Gives a node its share of a server. `soft`: the server itself turns away what is over its cap, so that every node
    /// may try where connections are scarce; else never more is given than is not out elsewhere.
    pub fn share(&mut self, server: &str, to: Holder, cap: u64, now: Duration, until: Duration, soft: bool) -> Share {
        let grace = now < self.grace;
        let all = self.shares.entry(server.into()).or_default();
        let own = all.entry(to.node.into()).or_default();
        if now >= own.until && !grace {
            own.count = 0;
        }
        let (held, want) = (own.count, own.want.max(1));
        let (fair, sharers) = self.fair_part(server, to.node, cap, now, until);
        let scarce = sharers > cap;
        let count = match (grace, soft) {
            (_, true) if scarce => want.min((cap / SCARCE_PARTS).max(1)),
            (false, _) => fair.min(cap.saturating_sub(self.out_elsewhere(server, to.node, now))),
            (true, false) => held.min(cap),
            // What is out besides can't be known yet.
            (true, true) => held.max(fair).min(cap),
        };
        let lease = self.shares.entry(server.into()).or_default().entry(to.node.into()).or_default();
        // What was given stays out until the node tells that it holds less, or until it has run out.
        lease.count = lease.count.max(count);
        lease.until = until;
        lease.nonce = to.nonce;
        lease.boot = to.boot;
        Share { count, scarce, sharers }
    }

    /// How many connections of a server other nodes may hold.
    fn out_elsewhere(&self, server: &str, node: &str, now: Duration) -> u64 {
        let others = self.shares.get(server).into_iter().flatten().filter(|(name, _)| *name != node);
        others.filter(|(_, lease)| now < lease.until).map(|(_, lease)| lease.count).sum()
    }

    /// A node's part of a server's connections, by what all nodes want, and among how many they are divided.
    fn fair_part(&mut self, server: &str, node: &str, cap: u64, now: Duration, until: Duration) -> (u64, u64) {
        let fresh = |d: &&Division| now < d.until && d.cap == cap && d.parts.contains_key(node);
        if self.divisions.get(server).filter(fresh).is_none() {
            let division = self.divide(server, cap, now, until);
            self.divisions.insert(server.into(), division);
        }
        let division = self.divisions.get(server);
        division.map_or((0, 1), |d| (d.parts.get(node).copied().unwrap_or(0), d.parts.len() as u64))
    }

    /// Works out the parts of all nodes that told of a server lately, and forgets the others.
    fn divide(&mut self, server: &str, cap: u64, now: Duration, until: Duration) -> Division {
        let span = until - now;
        let all = self.shares.entry(server.into()).or_default();
        all.retain(|_, lease| now < lease.until.max(lease.told + span));
        let wants: Vec<(&str, u64)> = all.iter().map(|(name, lease)| (name.as_str(), lease.want)).collect();
        let turn = now.as_millis() / span.as_millis().max(1);
        let scarce = wants.len() as u64 > cap;
        let parts = if scarce { in_turn(&wants, cap, turn) } else { fair(&wants, cap) };
        Division { until: now + span / PARTS_PER_SPAN, cap, parts }
    }

    /// What is out now: server, node, count.
    pub fn out(&self, now: Duration) -> Vec<(String, String, u64)> {
        let rows = self.shares.iter().flat_map(|(s, all)| all.iter().map(move |(n, l)| (s, n, l)));
        rows.filter(|(_, _, l)| now < l.until).map(|(s, n, l)| (s.clone(), n.clone(), l.count)).collect()
    }
}

/// Divides a cap by wants: everyone gets what it wants up to an even part, the rest goes to those who want more.
fn fair(wants: &[(&str, u64)], cap: u64) -> BTreeMap<String, u64> {
    let mut rows: Vec<(u64, &str)> = wants.iter().map(|(name, want)| ((*want).max(1), *name)).collect();
    rows.sort();
    let mut left = cap;
    let mut heads = rows.len() as u64;
    let mut out = BTreeMap::new();
    for (want, name) in rows {
        let part = want.min(left / heads.max(1));
        out.insert(name.to_string(), part);
        left -= part;
        heads -= 1;
    }
    out
}

/// Gives one connection each to as many nodes as there are connections; with each turn to the next ones.
fn in_turn(wants: &[(&str, u64)], cap: u64, turn: u128) -> BTreeMap<String, u64> {
    let nodes = wants.len().max(1);
    let first = (turn * u128::from(cap) % nodes as u128) as usize;
    let place = |index: usize| (index + nodes - first) % nodes;
    let part = |index: usize| u64::from((place(index) as u64) < cap);
    wants.iter().enumerate().map(|(index, (name, _))| (name.to_string(), part(index))).collect()
}
