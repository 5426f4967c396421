//! What the leading hub does: knows servers and nodes as they tell, gives grants, elects leaders, sends news.

mod election_record;
mod elections;
mod enrolment;
mod failover;
mod log_membership;
mod membership;
mod readings;
mod registry;
mod rows;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use base::{
    Bounds,
    edge::backend::ServerReport,
    notify::Notify,
    permits::Permits,
    protocol::ServerProtocol,
    runtime::{Component, Env},
    settings::NodeConfig,
};
use wire::{Image, NodeHeartbeat, NodeHeartbeatAck, Snapshot, SnapshotVersion, relay::Relay};

use crate::{
    consensus::Consensus,
    leases::{self, Holder, LeaseTable},
    operator,
    run::DisabledGuards,
};

use election_record::Pending;
pub use elections::GroupLeadership;
use log_membership::{LogRecord, MembershipPhase};
use membership::Listed;
use readings::{LogReading, ServerStatus};
use registry::{NodeRecord, ServerRecord};

/// How many nodes news tells of at most.
const FELLOWS: usize = 64;

/// For how many times the bound of silence a server that is gone and in no group is still known.
const FORGET_AFTER: u32 = 8;

/// The leading hub's desk; empty on the others.
pub struct Leadership {
    pub(crate) env: Env,
    pub(crate) consensus: Rc<Consensus>,
    pub(crate) relay: Rc<Relay>,
    pub(crate) bounds: Bounds,
    pub(crate) platform: Cell<Option<SocketAddr>>,
    pub(crate) manner: Option<Rc<dyn ServerProtocol>>,
    /// What servers that confirm are to be told, and what they last showed of themselves.
    talks: RefCell<BTreeMap<String, ServerStatus>>,
    servers: RefCell<BTreeMap<String, ServerRecord>>,
    seats: RefCell<BTreeMap<String, NodeRecord>>,
    /// How often another server than before was named for a group in this term, and the last one.
    namings: RefCell<BTreeMap<String, (u64, String)>>,
    /// The nodes that the newest news told of.
    told_nodes: RefCell<Vec<wire::Node>>,
    leases: RefCell<LeaseTable>,
    standings: RefCell<BTreeMap<String, GroupLeadership>>,
    seen: RefCell<BTreeMap<String, LogReading>>,
    rolls: RefCell<BTreeMap<String, LogRecord>>,
    phases: RefCell<BTreeMap<String, MembershipPhase>>,
    listed: RefCell<Listed>,
    /// Elections to be written down.
    pending_elects: RefCell<Vec<Pending>>,
    /// The state moved since the newest news.
    unpublished: Cell<bool>,
    /// Servers whose address turned the hub away at once, twice in a row.
    refused: RefCell<BTreeSet<String>>,
    term: Cell<u64>,
    count: Cell<u64>,
    /// A change was not published, as the lease had lapsed; it goes out before any node is confirmed again.
    overdue: Cell<bool>,
    /// Until when servers are read more often, as somebody waits for what is read.
    urgent: Cell<Duration>,
    /// Orders under way.
    pub(crate) orders: Permits,
    /// The zones that the settings list; none where they list none.
    pub(crate) listed_zones: Vec<String>,
    /// Rung when servers, nodes or grants moved.
    pub bell: Notify,
    pub(crate) disabled: DisabledGuards,
}

impl Leadership {
    /// A desk that nothing has been told yet.
    pub fn new(
        env: &Env,
        consensus: Rc<Consensus>,
        relay: Rc<Relay>,
        place: &NodeConfig,
        manner: Option<Rc<dyn ServerProtocol>>,
        disabled: DisabledGuards,
    ) -> Rc<Self> {
        let me = Rc::new(Self {
            env: env.clone(),
            consensus,
            relay,
            bounds: place.bounds.clone(),
            platform: Cell::new(place.platform),
            manner,
            talks: RefCell::default(),
            servers: RefCell::default(),
            seats: RefCell::default(),
            namings: RefCell::default(),
            told_nodes: RefCell::default(),
            leases: RefCell::default(),
            standings: RefCell::default(),
            seen: RefCell::default(),
            rolls: RefCell::default(),
            phases: RefCell::default(),
            listed: RefCell::default(),
            pending_elects: RefCell::default(),
            unpublished: Cell::default(),
            refused: RefCell::default(),
            term: Cell::new(0),
            count: Cell::new(0),
            overdue: Cell::default(),
            urgent: Cell::default(),
            orders: Permits::new(operator::MOST_ORDERS),
            listed_zones: place.zones.clone(),
            bell: Notify::default(),
            disabled,
        });
        let weak = Rc::downgrade(&me);
        me.consensus.report_leases(move || {
            let me = weak.upgrade();
            me.map(|m| m.leases.borrow().left(m.env.now())).unwrap_or_default()
        });
        me
    }

    /// Leads whenever the agreement says so, and clears the desk when it no longer does.
    pub async fn run(self: Rc<Self>) -> Result<(), std::convert::Infallible> {
        loop {
            self.consensus.bell.wait_until(|| self.consensus.leads().then_some(())).await;
            let (term, _) = self.consensus.term();
            self.begin(term);
            self.relay.urgent_heartbeat.notify_waiters();
            let me = self.clone();
            let probes = self.env.spawn(async move { me.probes().await });
            let me = self.clone();
            let tend_groups = self.env.spawn(async move { me.tend_groups().await });
            let me = self.clone();
            let watch = self.env.spawn(async move { me.watch().await });
            let me = self.clone();
            let roll = self.env.spawn(async move { me.roll().await });
            let me = self.clone();
            let enrol_servers = self.env.spawn(async move { me.enrol_servers().await });
            let me = self.clone();
            let elects = self.env.spawn(async move { me.write_elects().await });
            let me = self.clone();
            let batches = self.env.spawn(async move { me.publish_batches().await });
            self.consensus
                .bell
                .wait_until(|| (self.consensus.image().is_none() || self.consensus.term().0 != term).then_some(()))
                .await;
            drop((probes, tend_groups, watch, roll, enrol_servers, elects, batches));
            self.standings.borrow_mut().clear();
            self.seen.borrow_mut().clear();
        }
    }

    fn begin(&self, term: u64) {
        self.term.set(term);
        // Marks rise within a term, whatever was published in it before.
        let before = self.relay.latest().filter(|news| news.version.term == term);
        self.count.set(before.map_or(0, |news| news.version.count));
        self.overdue.set(false);
        self.unpublished.set(false);
        let lapse = self.env.now() + self.bounds.lease_expiry_wait();
        *self.leases.borrow_mut() = match self.consensus.inherited_leases() {
            Some(i) => LeaseTable::inherit(lapse, i.at, &i.leases),
            None => LeaseTable::new(lapse),
        };
        self.standings.borrow_mut().clear();
        self.seats.borrow_mut().clear();
        self.seen.borrow_mut().clear();
        self.rolls.borrow_mut().clear();
        self.phases.borrow_mut().clear();
        self.listed.borrow_mut().clear();
        self.pending_elects.borrow_mut().clear();
        self.namings.borrow_mut().clear();
        self.refused.borrow_mut().clear();
        self.talks.borrow_mut().clear();
        // What was told to the hub before is in the news that came by; the rest is told again soon.
        let now = self.env.now();
        let mut servers = self.servers.borrow_mut();
        servers.clear();
        if let Some(n) = self.relay.latest() {
            servers.extend(n.servers.iter().map(|s| (s.name.clone(), ServerRecord::from_news(s, now))));
            self.seats.borrow_mut().extend(n.nodes.iter().map(|n| (n.name.clone(), NodeRecord::from_news(n, now))));
        }
        // After all processes were down nobody tells it again for a while.
        if let Some(image) = self.consensus.image() {
            for s in &image.server_addresses {
                let group = image.group_including_leaving(&s.server).map_or("", |g| &g.name);
                servers.entry(s.server.clone()).or_insert_with(|| ServerRecord::from_spot(s, group, now));
            }
        }
        drop(servers);
        self.publish();
    }

    /// The newest mark; every change of news raises it before it is acted on.
    fn mark(&self) -> SnapshotVersion {
        SnapshotVersion { term: self.term.get(), count: self.count.get() }
    }

    /// Sends news of the present state down the tree.
    pub fn publish(&self) {
        let Some(image) = self.consensus.image() else { return };
        self.overdue.set(!self.consensus.leads());
        if self.overdue.get() {
            return;
        }
        self.unpublished.set(false);
        self.count.set(self.count.get() + 1);
        let servers = self.servers.borrow().iter().map(|(n, t)| t.news(n)).collect();
        let nodes = self.told_nodes_now();
        self.told_nodes.borrow_mut().clone_from(&nodes);
        self.relay.publish(Snapshot::new(self.mark(), &image, servers, nodes));
        self.bell.notify_waiters();
    }

    /// Sends news with the next batch: what servers tell of themselves is not news at every heartbeat.
    pub(super) fn publish_soon(&self) {
        self.unpublished.set(true);
    }

    /// Sends what has gathered, in batches. The delay adds to the time that a node may go on without newer news, four fifths
    /// of the blueprint bound; together they keep within the drain bound. A new set or an emptied area never waits here.
    async fn publish_batches(&self) {
        loop {
            self.env.sleep(self.batch_span()).await;
            if self.unpublished.get() {
                self.publish();
            }
        }
    }

    /// How long news gathers: half a beat.
    fn batch_span(&self) -> Duration {
        self.bounds.node_heartbeat() / 2
    }

    /// The nodes that news tells of, for others to hang on: those nearest to the root.
    fn told_nodes_now(&self) -> Vec<wire::Node> {
        let seats = self.seats.borrow();
        let mut all: Vec<&wire::Node> = seats.values().map(|s| &s.node).collect();
        if all.len() > FELLOWS {
            all.sort_by_key(|n| (n.depth, &n.name));
            all.truncate(FELLOWS);
        }
        all.into_iter().cloned().collect()
    }

    /// Takes a server's own report.
    pub fn report(&self, r: &ServerReport) {
        let now = self.env.now();
        let moved = {
            let mut all = self.servers.borrow_mut();
            if r.turn > 0 && all.get(&r.server).is_some_and(|o| o.turn >= r.turn) {
                // A late one: what came after it is known already.
                return;
            }
            let told = ServerRecord::from_report(r, now);
            let old = all.insert(r.server.clone(), told);
            old.is_none_or(|o| !o.same(&all[&r.server]))
        };
        if moved {
            self.publish_soon();
        }
    }

    /// Takes a server's word that it ends.
    pub fn left(&self, server: &str) {
        if let Some(t) = self.servers.borrow_mut().get_mut(server) {
            t.left = true;
            t.gone = true;
            t.heard = self.env.now();
        }
        self.publish_soon();
    }

    /// The other address at which a server of this name still answers this hub's readings.
    pub fn answers_elsewhere(&self, r: &ServerReport) -> Option<String> {
        let now = self.env.now();
        let at = self.servers.borrow().get(&r.server)?.addr.clone();
        let seen = self
            .seen
            .borrow()
            .get(&r.server)
            .is_some_and(|s| now.saturating_sub(s.at) < self.bounds.server_gone_after());
        (at != r.addr && seen).then_some(at)
    }

    /// Whether any group of the image has this server.
    pub fn known(&self, server: &str) -> bool {
        self.consensus.image().is_some_and(|i| i.group_including_leaving(server).is_some())
    }

    /// The zones_heard that servers and nodes tell of.
    pub fn zones_heard(&self) -> Vec<String> {
        let mut out: Vec<String> = self.servers.borrow().values().map(|t| t.area.clone()).collect();
        out.extend(self.seats.borrow().values().map(|s| s.node.zone.clone()));
        out.sort();
        out.dedup();
        out
    }

    /// Takes a node's beat and gives its grants.
    pub fn on_heartbeat(&self, beat: NodeHeartbeat) -> Option<NodeHeartbeatAck> {
        if !self.consensus.leads() || self.term.get() != self.consensus.term().0 {
            return None;
        }
        if !self.consensus.agrees(&beat.name, beat.bounds_digest) {
            return None;
        }
        let image = self.consensus.image()?;
        if self.overdue.get() {
            self.publish();
        }
        let now = self.env.now();
        {
            let mut seats = self.seats.borrow_mut();
            seats.insert(beat.name.clone(), NodeRecord::from_beat(&beat, now));
            if beat.leaving {
                seats.remove(&beat.name);
            }
        }
        self.leases.borrow_mut().told(&beat, now);
        if beat.hub {
            self.consensus.met(&beat.peer);
        }
        if beat.hub || beat.leaving {
            return Some(self.ret(&beat, Vec::new(), Vec::new()));
        }
        self.note_held_leases(&beat, &image);
        for s in beat.observations.iter().filter(|s| s.lost_since_admission > 0) {
            self.back_told(&image, &s.server, s.lost_since_admission);
        }
        let leads = self.grant_leads(&beat, &image, now);
        let shares = self.grant_shares(&beat, &image, now);
        Some(self.ret(&beat, leads, shares))
    }

    fn ret(
        &self,
        beat: &NodeHeartbeat,
        leads: Vec<wire::PrimaryLeaseGrant>,
        shares: Vec<wire::ShareGrant>,
    ) -> NodeHeartbeatAck {
        NodeHeartbeatAck {
            name: beat.name.clone(),
            boot_id: beat.boot_id,
            nonce: beat.nonce,
            snapshot_version: Some(self.mark()),
            primary_leases: leads,
            shares,
        }
    }

    fn grant_leads(&self, beat: &NodeHeartbeat, image: &Image, now: Duration) -> Vec<wire::PrimaryLeaseGrant> {
        let standings = self.standings.borrow();
        let holder = Holder { node: &beat.name, boot: beat.boot_id, nonce: beat.nonce };
        let mut out = Vec::new();
        for (group, st) in standings.iter().filter(|(_, s)| s.granting) {
            let server = match image.groups.iter().find(|g| g.name == *group) {
                Some(g) if g.confirms => st.server.clone(),
                _ => match image.election(group) {
                    Some(e) if e.epoch == st.line => e.server.clone(),
                    _ => continue,
                },
            };
            self.leases.borrow_mut().give_primary(group, holder, now + self.bounds.lease_expiry_wait());
            out.push(wire::PrimaryLeaseGrant {
                group: group.clone(),
                server,
                epoch: st.line,
                valid_ms: self.bounds.lease_duration().as_millis() as u64,
            });
        }
        out
    }

    fn grant_shares(&self, beat: &NodeHeartbeat, image: &Image, now: Duration) -> Vec<wire::ShareGrant> {
        let mut out = Vec::new();
        let mut table = self.leases.borrow_mut();
        let holder = Holder { node: &beat.name, boot: beat.boot_id, nonce: beat.nonce };
        let until = now + self.bounds.lease_expiry_wait();
        for g in &image.groups {
            for s in &g.servers {
                let cold = self.servers.borrow().get(s).map_or(0.0, |t| t.cold);
                let cold = if self.disabled.no_ramp { 0.0 } else { cold };
                let cap = leases::cap(g.cap, cold);
                let leases::Share { count, scarce, sharers } = match self.disabled.no_ledger {
                    true => leases::Share { count: cap, scarce: false, sharers: 1 },
                    // A cold server's cap is what it bears, not what it guards.
                    false => table.share(s, holder, cap, now, until, g.confirms && cold == 0.0),
                };
                let span = self.bounds.lease_duration().as_millis() as u64;
                out.push(wire::ShareGrant { server: s.clone(), count, valid_ms: span, scarce, sharers });
            }
        }
        out
    }

    /// Watches for servers and nodes that fall silent.
    async fn watch(&self) {
        loop {
            self.env.sleep(self.bounds.control_heartbeat()).await;
            let now = self.env.now();
            let gone = self.bounds.server_gone_after();
            let mut moved = false;
            for (name, t) in self.servers.borrow_mut().iter_mut() {
                let probed = self.seen.borrow().get(name).map_or(Duration::ZERO, |s| s.at);
                let probed = probed.max(self.talks.borrow().get(name).and_then(|t| t.alive).unwrap_or_default());
                let quiet = now.saturating_sub(t.heard.max(probed)) > gone;
                moved |= t.gone != (quiet || t.left);
                t.gone = quiet || t.left;
            }
            moved |= self.forget_servers(now);
            self.seats.borrow_mut().retain(|_, s| now.saturating_sub(s.heard) < gone * 2);
            // Nodes that come and go together are told of together.
            moved |= *self.told_nodes.borrow() != self.told_nodes_now();
            if moved {
                self.publish_soon();
            }
        }
    }

    /// Forgets servers that are in no group and have been gone for long enough that no report of theirs is under way.
    fn forget_servers(&self, now: Duration) -> bool {
        let Some(image) = self.consensus.image() else { return false };
        let mut servers = self.servers.borrow_mut();
        let before = servers.len();
        let span = self.bounds.server_gone_after() * FORGET_AFTER;
        // What an earlier leading hub told of is counted from when this one began to lead.
        let since = self.consensus.term().1;
        servers.retain(|name, t| {
            !t.gone || image.group_including_leaving(name).is_some() || now < t.heard.max(since) + span
        });
        servers.len() != before
    }

    pub(crate) fn log(&self, part: Component, text: impl AsRef<str>) {
        self.env.log(part, text);
    }
}
