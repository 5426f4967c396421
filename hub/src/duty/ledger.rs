use std::{collections::BTreeMap, time::Duration};

use wire::{Beat, OutLead};

/// Connections of each server that hubs keep for reading positions.
const KEPT_BACK: u64 = 3;

/// How many connections nodes may share out, by the cap and how cold the server is.
pub fn cap(cap: u64, cold: f64) -> u64 {
    let all = cap.saturating_sub(KEPT_BACK).max(1);
    ((all as f64 * (1.0 - cold)).floor() as u64).clamp(1, all)
}

#[derive(Clone, Default)]
struct Lot {
    count: u64,
    until: Duration,
    want: u64,
    /// The beat that the newest return answered.
    nonce: u64,
    /// When the want was last told.
    told: Duration,
}

/// What has been given to whom and until when it counts as out.
#[derive(Default)]
pub struct Ledger {
    /// Before this an earlier leading hub's grants may stand.
    grace: Duration,
    /// Before this an earlier leading hub's leader grants may stand, beside those that are noted.
    doubt: Duration,
    shares: BTreeMap<String, BTreeMap<String, Lot>>,
    /// How a server's cap is divided by wants, and when that was worked out: once a while for all, not for each node.
    parts: BTreeMap<String, (Duration, u64, BTreeMap<String, u64>)>,
    leads: BTreeMap<String, BTreeMap<String, (u64, Duration)>>,
}

impl Ledger {
    /// A ledger whose unknown grants have run out at `grace`.
    pub fn new(grace: Duration) -> Self {
        Self { grace, doubt: grace, ..Self::default() }
    }

    /// A ledger that takes on the leader grants which the holder before told of at `at`.
    pub fn heir(grace: Duration, at: Duration, left: &[OutLead]) -> Self {
        let mut me = Self { grace, ..Self::default() };
        for l in left {
            if l.group.is_empty() {
                me.doubt = at + Duration::from_millis(l.left);
                continue;
            }
            me.lead_given(&l.group, &l.node, l.nonce, at + Duration::from_millis(l.left));
        }
        me
    }

    /// The leader grants that may still stand, for a successor. Only one that knows of all can tell.
    pub fn left(&self, now: Duration) -> Vec<OutLead> {
        let mut out = Vec::new();
        if self.doubt > now {
            // Of a holder earlier still, nobody knows which nodes have any.
            let left = (self.doubt - now).as_millis() as u64 + 1;
            out.push(OutLead { left, ..OutLead::default() });
        }
        for (group, all) in &self.leads {
            for (node, (nonce, until)) in all.iter().filter(|(_, (_, u))| now < *u) {
                let left = (*until - now).as_millis() as u64 + 1;
                out.push(OutLead { group: group.clone(), node: node.clone(), nonce: *nonce, left });
            }
        }
        out
    }

    /// Takes in what a node says it still holds.
    pub fn told(&mut self, b: &Beat, now: Duration) {
        for h in &b.shares {
            let lot = self.shares.entry(h.server.clone()).or_default().entry(b.name.clone()).or_default();
            lot.want = h.want;
            lot.told = now;
            // A beat tells of the past: only a count it holds after the newest return lowers what is out.
            if h.count < lot.count && b.heard >= lot.nonce {
                lot.count = h.count;
            }
            if now < self.grace {
                lot.count = lot.count.max(h.count);
            }
        }
        for (group, all) in &mut self.leads {
            if let Some((nonce, _)) = all.get(&b.name)
                && (b.leaving || (b.heard > *nonce && !b.leads.iter().any(|l| l.group == *group)))
            {
                all.remove(&b.name);
            }
        }
        if b.leaving {
            for all in self.shares.values_mut() {
                all.remove(&b.name);
            }
        }
    }

    /// Notes a leader grant.
    pub fn lead_given(&mut self, group: &str, node: &str, nonce: u64, until: Duration) {
        self.leads.entry(group.into()).or_default().insert(node.into(), (nonce, until));
    }

    /// Whether no leader grant of a group can still stand.
    pub fn leads_out(&self, group: &str, now: Duration) -> bool {
        now >= self.doubt && self.leads.get(group).is_none_or(|all| all.values().all(|(_, until)| now >= *until))
    }

    /// As [`Ledger::leads_out`]; where no earlier leading hub can have given any for another server, only this one's count.
    pub fn leads_back(&self, group: &str, now: Duration, known: bool) -> bool {
        (known || now >= self.doubt) && self.holders(group, now).is_empty()
    }

    /// The nodes that may hold a leader grant of a group, given by this hub.
    pub fn holders(&self, group: &str, now: Duration) -> Vec<String> {
        let all = self.leads.get(group).into_iter().flatten();
        all.filter(|(_, (_, until))| now < *until).map(|(n, _)| n.clone()).collect()
    }

    /// Gives a node its share of a server, never more than what is not out elsewhere.
    pub fn share(
        &mut self,
        server: &str,
        to: (&str, u64),
        cap: u64,
        now: Duration,
        until: Duration,
        soft: bool,
    ) -> u64 {
        let (node, nonce) = to;
        let grace = now < self.grace;
        let all = self.shares.entry(server.into()).or_default();
        all.retain(|_, l| now < l.until || now < l.told + (until - now));
        for l in all.values_mut() {
            if now >= l.until && !grace {
                l.count = 0;
            }
        }
        let lot = all.get(node).cloned().unwrap_or_default();
        let fresh = |p: &&(Duration, u64, BTreeMap<String, u64>)| now < p.0 && p.1 == cap && p.2.contains_key(node);
        if self.parts.get(server).filter(fresh).is_none() {
            let parts = fair(all.iter().map(|(n, l)| (n.as_str(), l.want)), cap);
            self.parts.insert(server.into(), (now + (until - now) / 16, cap, parts));
        }
        let fair = self.parts.get(server).and_then(|p| p.2.get(node)).copied().unwrap_or(0);
        let others: u64 = all.iter().filter(|(n, _)| *n != node).map(|(_, l)| l.count).sum();
        let free = cap.saturating_sub(others);
        let give = match (grace, soft) {
            (false, _) => fair.min(free),
            (true, false) => lot.count.min(cap),
            // What is out besides can't be known yet; the server itself turns away what is over its cap.
            (true, true) => lot.count.max(fair).min(cap),
        };
        let lot = all.entry(node.into()).or_default();
        // What was given stays out until the node tells that it holds less, or until it has run out.
        lot.count = lot.count.max(give);
        lot.until = until;
        lot.nonce = nonce;
        give
    }

    /// What is out now: server, node, count.
    pub fn out(&self, now: Duration) -> Vec<(String, String, u64)> {
        let rows = self.shares.iter().flat_map(|(s, all)| all.iter().map(move |(n, l)| (s, n, l)));
        rows.filter(|(_, _, l)| now < l.until).map(|(s, n, l)| (s.clone(), n.clone(), l.count)).collect()
    }
}

/// Divides a cap by wants: everyone gets what it wants up to an even part, the rest goes to those who want more.
fn fair<'a>(wants: impl Iterator<Item = (&'a str, u64)>, cap: u64) -> BTreeMap<String, u64> {
    let mut rows: Vec<(u64, &str)> = wants.map(|(n, w)| (w.max(1), n)).collect();
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
