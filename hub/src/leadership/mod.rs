//! What the leading hub does: knows servers and nodes as they tell, gives grants, elects leaders, sends news.

mod election_record;
mod elections;
mod failover;
mod log_membership;
mod membership;
mod registration;
mod registry;
mod rows;
mod sampling;

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

use election_record::PendingElection;
pub use elections::GroupLeadership;
use log_membership::{LogRecord, MembershipPhase};
use membership::ServerLists;
use registry::{NodeRecord, ServerRecord};
use sampling::{LogSample, ServerStatus};

/// How many nodes news tells of at most.
const MAX_PUBLISHED_NODES: usize = 64;

/// For how many times the bound of silence a server that is gone and in no group is still known.
const FORGET_AFTER_FACTOR: u32 = 8;

/// The leading hub's desk; empty on the others.
pub struct Leadership {
    pub(crate) env: Env,
    pub(crate) consensus: Rc<Consensus>,
    pub(crate) relay: Rc<Relay>,
    pub(crate) bounds: Bounds,
    pub(crate) platform_address: Cell<Option<SocketAddr>>,
    pub(crate) server_protocol: Option<Rc<dyn ServerProtocol>>,
    /// What servers that confirm are to be told, and what they last showed of themselves.
    server_statuses: RefCell<BTreeMap<String, ServerStatus>>,
    servers: RefCell<BTreeMap<String, ServerRecord>>,
    nodes: RefCell<BTreeMap<String, NodeRecord>>,
    /// How often another server than before was named for a group in this term, and the last one.
    promotion_counts: RefCell<BTreeMap<String, (u64, String)>>,
    /// The nodes that the newest news told of.
    published_nodes: RefCell<Vec<wire::Node>>,
    leases: RefCell<LeaseTable>,
    group_leadership: RefCell<BTreeMap<String, GroupLeadership>>,
    log_samples: RefCell<BTreeMap<String, LogSample>>,
    log_records: RefCell<BTreeMap<String, LogRecord>>,
    membership_phases: RefCell<BTreeMap<String, MembershipPhase>>,
    server_lists: RefCell<ServerLists>,
    /// Elections to be written down.
    pending_elections: RefCell<Vec<PendingElection>>,
    /// The state moved since the newest news.
    unpublished: Cell<bool>,
    /// Servers whose address turned the hub away at once, twice in a row.
    refusing_servers: RefCell<BTreeSet<String>>,
    term: Cell<u64>,
    snapshot_count: Cell<u64>,
    /// A change was not published, as the lease had lapsed; it goes out before any node is confirmed again.
    publish_overdue: Cell<bool>,
    /// Until when servers are read more often, as somebody waits for what is read.
    urgent_until: Cell<Duration>,
    /// Orders under way.
    pub(crate) order_permits: Permits,
    /// The zones that the settings list; none where they list none.
    pub(crate) listed_zones: Vec<String>,
    /// Rung when servers, nodes or grants moved.
    pub state_changed: Notify,
    pub(crate) disabled: DisabledGuards,
}

impl Leadership {
    /// A desk that nothing has been told yet.
    pub fn new(
        env: &Env,
        consensus: Rc<Consensus>,
        relay: Rc<Relay>,
        config: &NodeConfig,
        server_protocol: Option<Rc<dyn ServerProtocol>>,
        disabled: DisabledGuards,
    ) -> Rc<Self> {
        let leadership = Rc::new(Self {
            env: env.clone(),
            consensus,
            relay,
            bounds: config.bounds.clone(),
            platform_address: Cell::new(config.platform),
            server_protocol,
            server_statuses: RefCell::default(),
            servers: RefCell::default(),
            nodes: RefCell::default(),
            promotion_counts: RefCell::default(),
            published_nodes: RefCell::default(),
            leases: RefCell::default(),
            group_leadership: RefCell::default(),
            log_samples: RefCell::default(),
            log_records: RefCell::default(),
            membership_phases: RefCell::default(),
            server_lists: RefCell::default(),
            pending_elections: RefCell::default(),
            unpublished: Cell::default(),
            refusing_servers: RefCell::default(),
            term: Cell::new(0),
            snapshot_count: Cell::new(0),
            publish_overdue: Cell::default(),
            urgent_until: Cell::default(),
            order_permits: Permits::new(operator::MAX_CONCURRENT_ORDERS),
            listed_zones: config.zones.clone(),
            state_changed: Notify::default(),
            disabled,
        });
        let weak = Rc::downgrade(&leadership);
        leadership.consensus.report_leases(move || {
            let leadership = weak.upgrade();
            leadership.map(|leadership| leadership.leases.borrow().left(leadership.env.now())).unwrap_or_default()
        });
        leadership
    }

    /// Leads whenever the agreement says so, and clears the desk when it no longer does.
    pub async fn run(self: Rc<Self>) -> Result<(), std::convert::Infallible> {
        loop {
            self.consensus.bell.wait_until(|| self.consensus.leads().then_some(())).await;
            let (term, _) = self.consensus.term();
            self.begin_term(term);
            self.relay.urgent_heartbeat.notify_waiters();
            let leadership = self.clone();
            let sampling = self.env.spawn(async move { leadership.sample_servers().await });
            let leadership = self.clone();
            let groups = self.env.spawn(async move { leadership.supervise_groups().await });
            let leadership = self.clone();
            let silence = self.env.spawn(async move { leadership.detect_silence().await });
            let leadership = self.clone();
            let log_membership = self.env.spawn(async move { leadership.maintain_log_membership().await });
            let leadership = self.clone();
            let registration = self.env.spawn(async move { leadership.register_servers().await });
            let leadership = self.clone();
            let elections = self.env.spawn(async move { leadership.write_elections().await });
            let leadership = self.clone();
            let publishing = self.env.spawn(async move { leadership.publish_batches().await });
            self.consensus
                .bell
                .wait_until(|| (self.consensus.image().is_none() || self.consensus.term().0 != term).then_some(()))
                .await;
            drop((sampling, groups, silence, log_membership, registration, elections, publishing));
            self.group_leadership.borrow_mut().clear();
            self.log_samples.borrow_mut().clear();
        }
    }

    fn begin_term(&self, term: u64) {
        self.term.set(term);
        // Marks rise within a term, whatever was published in it before.
        let before = self.relay.latest().filter(|snapshot| snapshot.version.term == term);
        self.snapshot_count.set(before.map_or(0, |snapshot| snapshot.version.count));
        self.publish_overdue.set(false);
        self.unpublished.set(false);
        let expiry = self.env.now() + self.bounds.lease_expiry_wait();
        *self.leases.borrow_mut() = match self.consensus.inherited_leases() {
            Some(inherited) => LeaseTable::inherit(expiry, inherited.at, &inherited.leases),
            None => LeaseTable::new(expiry),
        };
        self.group_leadership.borrow_mut().clear();
        self.nodes.borrow_mut().clear();
        self.log_samples.borrow_mut().clear();
        self.log_records.borrow_mut().clear();
        self.membership_phases.borrow_mut().clear();
        self.server_lists.borrow_mut().clear();
        self.pending_elections.borrow_mut().clear();
        self.promotion_counts.borrow_mut().clear();
        self.refusing_servers.borrow_mut().clear();
        self.server_statuses.borrow_mut().clear();
        // What was told to the hub before is in the news that came by; the rest is told again soon.
        let now = self.env.now();
        let mut servers = self.servers.borrow_mut();
        servers.clear();
        if let Some(snapshot) = self.relay.latest() {
            servers.extend(
                snapshot.servers.iter().map(|server| (server.name.clone(), ServerRecord::from_snapshot(server, now))),
            );
            self.nodes
                .borrow_mut()
                .extend(snapshot.nodes.iter().map(|node| (node.name.clone(), NodeRecord::from_snapshot(node, now))));
        }
        // After all processes were down nobody tells it again for a while.
        if let Some(image) = self.consensus.image() {
            for server in &image.server_addresses {
                let group = image.group_including_leaving(&server.server).map_or("", |g| &g.name);
                servers.entry(server.server.clone()).or_insert_with(|| ServerRecord::from_address(server, group, now));
            }
        }
        drop(servers);
        self.publish();
    }

    /// The newest mark; every change of news raises it before it is acted on.
    fn snapshot_version(&self) -> SnapshotVersion {
        SnapshotVersion { term: self.term.get(), count: self.snapshot_count.get() }
    }

    /// Sends news of the present state down the tree.
    pub fn publish(&self) {
        let Some(image) = self.consensus.image() else { return };
        self.publish_overdue.set(!self.consensus.leads());
        if self.publish_overdue.get() {
            return;
        }
        self.unpublished.set(false);
        self.snapshot_count.set(self.snapshot_count.get() + 1);
        let servers = self.servers.borrow().iter().map(|(name, record)| record.to_message(name)).collect();
        let nodes = self.nodes_to_publish();
        self.published_nodes.borrow_mut().clone_from(&nodes);
        self.relay.publish(Snapshot::new(self.snapshot_version(), &image, servers, nodes));
        self.state_changed.notify_waiters();
    }

    /// Sends news with the next batch: what servers tell of themselves is not news at every heartbeat.
    pub(super) fn publish_soon(&self) {
        self.unpublished.set(true);
    }

    /// Sends what has gathered, in batches. The delay adds to the time that a node may go on without newer news, four fifths
    /// of the blueprint bound; together they keep within the drain bound. A new set or an emptied area never waits here.
    async fn publish_batches(&self) {
        loop {
            self.env.sleep(self.batch_interval()).await;
            if self.unpublished.get() {
                self.publish();
            }
        }
    }

    /// How long news gathers: half a beat.
    fn batch_interval(&self) -> Duration {
        self.bounds.node_heartbeat() / 2
    }

    /// The nodes that news tells of, for others to hang on: those nearest to the root.
    fn nodes_to_publish(&self) -> Vec<wire::Node> {
        let nodes = self.nodes.borrow();
        let mut all: Vec<&wire::Node> = nodes.values().map(|record| &record.node).collect();
        if all.len() > MAX_PUBLISHED_NODES {
            all.sort_by_key(|node| (node.depth, &node.name));
            all.truncate(MAX_PUBLISHED_NODES);
        }
        all.into_iter().cloned().collect()
    }

    /// Takes a server's own report.
    pub fn record_report(&self, report: &ServerReport) {
        let now = self.env.now();
        let changed = {
            let mut servers = self.servers.borrow_mut();
            if report.turn > 0 && servers.get(&report.server).is_some_and(|previous| previous.report_seq >= report.turn)
            {
                // A late one: what came after it is known already.
                return;
            }
            let record = ServerRecord::from_report(report, now);
            let previous = servers.insert(report.server.clone(), record);
            previous.is_none_or(|previous| !previous.same_published(&servers[&report.server]))
        };
        if changed {
            self.publish_soon();
        }
    }

    /// Takes a server's word that it ends.
    pub fn record_departure(&self, server: &str) {
        if let Some(record) = self.servers.borrow_mut().get_mut(server) {
            record.deregistered = true;
            record.gone = true;
            record.last_report = self.env.now();
        }
        self.publish_soon();
    }

    /// The other address at which a server of this name still answers this hub's readings.
    pub fn answers_elsewhere(&self, report: &ServerReport) -> Option<String> {
        let now = self.env.now();
        let address = self.servers.borrow().get(&report.server)?.addr.clone();
        let answered_lately = self
            .log_samples
            .borrow()
            .get(&report.server)
            .is_some_and(|sample| now.saturating_sub(sample.received_at) < self.bounds.server_gone_after());
        (address != report.addr && answered_lately).then_some(address)
    }

    /// Whether any group of the image has this server.
    pub fn is_known(&self, server: &str) -> bool {
        self.consensus.image().is_some_and(|image| image.group_including_leaving(server).is_some())
    }

    /// The zones_heard that servers and nodes tell of.
    pub fn observed_zones(&self) -> Vec<String> {
        let mut zones: Vec<String> = self.servers.borrow().values().map(|record| record.zone.clone()).collect();
        zones.extend(self.nodes.borrow().values().map(|node| node.node.zone.clone()));
        zones.sort();
        zones.dedup();
        zones
    }

    /// Takes a node's beat and gives its grants.
    pub fn on_heartbeat(&self, heartbeat: NodeHeartbeat) -> Option<NodeHeartbeatAck> {
        if !self.consensus.leads() || self.term.get() != self.consensus.term().0 {
            return None;
        }
        if !self.consensus.agrees(&heartbeat.name, heartbeat.bounds_digest) {
            return None;
        }
        let image = self.consensus.image()?;
        if self.publish_overdue.get() {
            self.publish();
        }
        let now = self.env.now();
        {
            let mut nodes = self.nodes.borrow_mut();
            nodes.insert(heartbeat.name.clone(), NodeRecord::from_heartbeat(&heartbeat, now));
            if heartbeat.leaving {
                nodes.remove(&heartbeat.name);
            }
        }
        self.leases.borrow_mut().told(&heartbeat, now);
        if heartbeat.hub {
            self.consensus.met(&heartbeat.peer);
        }
        if heartbeat.hub || heartbeat.leaving {
            return Some(self.heartbeat_ack(&heartbeat, Vec::new(), Vec::new()));
        }
        self.note_held_leases(&heartbeat, &image);
        for observation in heartbeat.observations.iter().filter(|observation| observation.lost_since_admission > 0) {
            self.record_lost_entries(&image, &observation.server, observation.lost_since_admission);
        }
        let primary_leases = self.grant_primary_leases(&heartbeat, &image, now);
        let shares = self.grant_shares(&heartbeat, &image, now);
        Some(self.heartbeat_ack(&heartbeat, primary_leases, shares))
    }

    fn heartbeat_ack(
        &self,
        heartbeat: &NodeHeartbeat,
        primary_leases: Vec<wire::PrimaryLeaseGrant>,
        shares: Vec<wire::ShareGrant>,
    ) -> NodeHeartbeatAck {
        NodeHeartbeatAck {
            name: heartbeat.name.clone(),
            boot_id: heartbeat.boot_id,
            nonce: heartbeat.nonce,
            snapshot_version: Some(self.snapshot_version()),
            primary_leases,
            shares,
        }
    }

    fn grant_primary_leases(
        &self,
        heartbeat: &NodeHeartbeat,
        image: &Image,
        now: Duration,
    ) -> Vec<wire::PrimaryLeaseGrant> {
        let group_leadership = self.group_leadership.borrow();
        let holder = Holder { node: &heartbeat.name, boot: heartbeat.boot_id, nonce: heartbeat.nonce };
        let mut leases = Vec::new();
        for (group, leadership) in group_leadership.iter().filter(|(_, leadership)| leadership.granting) {
            let server = match image.groups.iter().find(|candidate| candidate.name == *group) {
                Some(candidate) if candidate.confirms => leadership.server.clone(),
                _ => match image.election(group) {
                    Some(election) if election.epoch == leadership.epoch => election.server.clone(),
                    _ => continue,
                },
            };
            self.leases.borrow_mut().give_primary(group, holder, now + self.bounds.lease_expiry_wait());
            leases.push(wire::PrimaryLeaseGrant {
                group: group.clone(),
                server,
                epoch: leadership.epoch,
                valid_ms: self.bounds.lease_duration().as_millis() as u64,
            });
        }
        leases
    }

    fn grant_shares(&self, heartbeat: &NodeHeartbeat, image: &Image, now: Duration) -> Vec<wire::ShareGrant> {
        let mut grants = Vec::new();
        let mut table = self.leases.borrow_mut();
        let holder = Holder { node: &heartbeat.name, boot: heartbeat.boot_id, nonce: heartbeat.nonce };
        let until = now + self.bounds.lease_expiry_wait();
        for group in &image.groups {
            for server in &group.servers {
                let cold = self.servers.borrow().get(server).map_or(0.0, |record| record.cold);
                let cold = if self.disabled.no_ramp { 0.0 } else { cold };
                let cap = leases::cap(group.cap, cold);
                let leases::Share { count, scarce, sharers } = match self.disabled.no_ledger {
                    true => leases::Share { count: cap, scarce: false, sharers: 1 },
                    // A cold server's cap is what it bears, not what it guards.
                    false => table.share(server, holder, cap, now, until, group.confirms && cold == 0.0),
                };
                let valid_ms = self.bounds.lease_duration().as_millis() as u64;
                grants.push(wire::ShareGrant { server: server.clone(), count, valid_ms, scarce, sharers });
            }
        }
        grants
    }

    /// Watches for servers and nodes that fall silent.
    async fn detect_silence(&self) {
        loop {
            self.env.sleep(self.bounds.control_heartbeat()).await;
            let now = self.env.now();
            let gone_after = self.bounds.server_gone_after();
            let mut changed = false;
            for (name, record) in self.servers.borrow_mut().iter_mut() {
                let last_answer =
                    self.log_samples.borrow().get(name).map_or(Duration::ZERO, |sample| sample.received_at);
                let last_answer = last_answer.max(
                    self.server_statuses.borrow().get(name).and_then(|status| status.last_response).unwrap_or_default(),
                );
                let silent = now.saturating_sub(record.last_report.max(last_answer)) > gone_after;
                changed |= record.gone != (silent || record.deregistered);
                record.gone = silent || record.deregistered;
            }
            changed |= self.forget_servers(now);
            self.nodes.borrow_mut().retain(|_, record| now.saturating_sub(record.last_heartbeat) < gone_after * 2);
            // Nodes that come and go together are told of together.
            changed |= *self.published_nodes.borrow() != self.nodes_to_publish();
            if changed {
                self.publish_soon();
            }
        }
    }

    /// Forgets servers that are in no group and have been gone for long enough that no report of theirs is under way.
    fn forget_servers(&self, now: Duration) -> bool {
        let Some(image) = self.consensus.image() else { return false };
        let mut servers = self.servers.borrow_mut();
        let before = servers.len();
        let forget_after = self.bounds.server_gone_after() * FORGET_AFTER_FACTOR;
        // What an earlier leading hub told of is counted from when this one began to lead.
        let since = self.consensus.term().1;
        servers.retain(|name, record| {
            !record.gone
                || image.group_including_leaving(name).is_some()
                || now < record.last_report.max(since) + forget_after
        });
        servers.len() != before
    }

    pub(crate) fn log(&self, part: Component, text: impl AsRef<str>) {
        self.env.log(part, text);
    }
}
