//! What the leading control node does: it collects the reports of servers and the heartbeats of nodes, grants leases,
//! elects primaries and publishes state snapshots.

mod confirming;
mod election_record;
mod elections;
mod failover;
mod hand_over;
mod heartbeats;
mod log_membership;
mod membership;
mod promotion;
mod publishing;
mod reachability;
mod registration;
mod registry;
mod replication_orders;
mod rows;
mod sampling;
pub mod supervision;

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
    loop_lag::LoopLag,
    notify::Notify,
    permits::Permits,
    protocol::ServerProtocol,
    runtime::{Component, Env},
    settings::NodeConfig,
};
use wire::{Image, relay::Relay};

use crate::{consensus::Consensus, leases::LeaseTable, operator, run::DisabledGuards};

use election_record::PendingElection;
pub use elections::GroupLeadership;
use log_membership::{LogRecord, MembershipPhase};
use membership::ServerLists;
use registry::{NodeRecord, ServerRecord};
use sampling::{LogSample, ServerStatus};

/// How many nodes a snapshot lists at most.
const MAX_PUBLISHED_NODES: usize = 64;

/// A server that is gone and in no group is forgotten after this many times `server_gone_after`.
const FORGET_AFTER_FACTOR: u32 = 8;

/// The state of the leading control node; not used on the others.
pub struct Leadership {
    pub(crate) env: Env,
    pub(crate) consensus: Rc<Consensus>,
    pub(crate) relay: Rc<Relay>,
    pub(crate) bounds: Bounds,
    pub(crate) platform_address: Cell<Option<SocketAddr>>,
    pub(crate) server_protocol: Option<Rc<dyn ServerProtocol>>,
    loop_lag: Rc<LoopLag>,
    /// By name, the connection status of servers that confirm commits: the last reported status and the queued
    /// statement.
    server_statuses: RefCell<BTreeMap<String, ServerStatus>>,
    /// Servers by name, as last reported.
    servers: RefCell<BTreeMap<String, ServerRecord>>,
    /// Nodes by name, as of their last heartbeat.
    nodes: RefCell<BTreeMap<String, NodeRecord>>,
    /// By group, how often the platform was called to promote a server in this term.
    promotion_call_counts: RefCell<BTreeMap<String, u64>>,
    /// The nodes in the latest snapshot.
    published_nodes: RefCell<Vec<wire::Node>>,
    /// The image of the latest snapshot, and the part of it that nodes need.
    published_image: RefCell<Option<(Rc<Image>, Rc<Image>)>>,
    leases: RefCell<LeaseTable>,
    /// The leadership status by group.
    group_leadership: RefCell<BTreeMap<String, GroupLeadership>>,
    /// The latest log sample by server.
    log_samples: RefCell<BTreeMap<String, LogSample>>,
    /// What was observed of each server's log.
    log_records: RefCell<BTreeMap<String, LogRecord>>,
    /// The state of the membership change by group.
    membership_phases: RefCell<BTreeMap<String, MembershipPhase>>,
    server_lists: RefCell<ServerLists>,
    /// Elections to be recorded.
    pending_elections: RefCell<Vec<PendingElection>>,
    /// The state changed since the latest snapshot.
    unpublished: Cell<bool>,
    /// Servers whose address refused the connection at once, twice in a row.
    refusing_servers: RefCell<BTreeSet<String>>,
    /// The term that this control node began to lead in.
    term: Cell<u64>,
    /// The count in the latest snapshot's version, which rises within a term.
    snapshot_count: Cell<u64>,
    /// A change was not published because the leader lease had expired; it is published before any node is confirmed
    /// again.
    publish_overdue: Cell<bool>,
    /// Until when servers are sampled more often, because a decision waits for the result.
    urgent_until: Cell<Duration>,
    /// One permit for each operator's order in progress.
    pub(crate) order_permits: Permits,
    /// The zones that the settings list; may be empty.
    pub(crate) configured_zones: Vec<String>,
    /// Notified when servers, nodes, leases or the queue of pending work changed.
    pub state_changed: Notify,
    pub(crate) disabled: DisabledGuards,
}

impl Leadership {
    /// Creates an empty state. `server_protocol` is the protocol of servers that confirm commits, if there are any.
    pub fn new(
        env: &Env,
        consensus: Rc<Consensus>,
        relay: Rc<Relay>,
        config: &NodeConfig,
        server_protocol: Option<Rc<dyn ServerProtocol>>,
        loop_lag: Rc<LoopLag>,
        disabled: DisabledGuards,
    ) -> Rc<Self> {
        let leadership = Rc::new(Self {
            env: env.clone(),
            consensus,
            relay,
            bounds: config.bounds.clone(),
            platform_address: Cell::new(config.platform),
            server_protocol,
            loop_lag,
            server_statuses: RefCell::default(),
            servers: RefCell::default(),
            nodes: RefCell::default(),
            promotion_call_counts: RefCell::default(),
            published_nodes: RefCell::default(),
            published_image: RefCell::default(),
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
            configured_zones: config.zones.clone(),
            state_changed: Notify::default(),
            disabled,
        });
        let weak = Rc::downgrade(&leadership);
        leadership.consensus.set_lease_reporter(move || {
            let leadership = weak.upgrade();
            leadership
                .map(|leadership| leadership.leases.borrow().outstanding_primary_leases(leadership.env.now()))
                .unwrap_or_default()
        });
        leadership
    }

    /// Runs the leader's tasks whenever the consensus makes this control node the leader, and stops them when it no
    /// longer is.
    pub async fn run(self: Rc<Self>) -> Result<(), std::convert::Infallible> {
        loop {
            self.consensus.state_changed.wait_until(|| self.consensus.leads_with_lease().then_some(())).await;
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
                .state_changed
                .wait_until(|| (self.consensus.image().is_none() || self.consensus.term().0 != term).then_some(()))
                .await;
            drop((sampling, groups, silence, log_membership, registration, elections, publishing));
            self.group_leadership.borrow_mut().clear();
            self.log_samples.borrow_mut().clear();
        }
    }

    /// Resets the state for a new term and publishes the first snapshot.
    fn begin_term(&self, term: u64) {
        self.term.set(term);
        // Snapshot versions rise within a term, whatever was published in it before.
        let before = self.relay.latest_snapshot().filter(|snapshot| snapshot.version.term == term);
        self.snapshot_count.set(before.map_or(0, |snapshot| snapshot.version.count));
        self.publish_overdue.set(false);
        self.unpublished.set(false);
        let expiry = self.env.now() + self.bounds.lease_expiry_wait();
        *self.leases.borrow_mut() = match self.consensus.inherited_leases() {
            Some(inherited) => LeaseTable::inherit(expiry, inherited.received_at, &inherited.leases),
            None => LeaseTable::new(expiry),
        };
        self.group_leadership.borrow_mut().clear();
        self.nodes.borrow_mut().clear();
        self.log_samples.borrow_mut().clear();
        self.log_records.borrow_mut().clear();
        self.membership_phases.borrow_mut().clear();
        self.server_lists.borrow_mut().clear();
        self.pending_elections.borrow_mut().clear();
        self.promotion_call_counts.borrow_mut().clear();
        self.refusing_servers.borrow_mut().clear();
        self.server_statuses.borrow_mut().clear();
        // What was reported to the previous leader is in its latest snapshot; the rest is soon reported again.
        let now = self.env.now();
        let mut servers = self.servers.borrow_mut();
        servers.clear();
        if let Some(snapshot) = self.relay.latest_snapshot() {
            servers.extend(
                snapshot.servers.iter().map(|server| (server.name.clone(), ServerRecord::from_snapshot(server, now))),
            );
            self.nodes
                .borrow_mut()
                .extend(snapshot.nodes.iter().map(|node| (node.name.clone(), NodeRecord::from_snapshot(node, now))));
        }
        // After all processes were down, servers don't report their addresses again for a while.
        if let Some(image) = self.consensus.image() {
            for server in &image.server_addresses {
                let group = image.group_including_leaving(&server.server).map_or("", |group| &group.name);
                servers.entry(server.server.clone()).or_insert_with(|| ServerRecord::from_address(server, group, now));
            }
        }
        for departure in self.consensus.image().iter().flat_map(|image| &image.departures) {
            if let Some(record) = servers.get_mut(&departure.server) {
                record.draining = true;
                record.deregistered |= departure.deregistered;
                record.gone |= departure.deregistered;
            }
        }
        drop(servers);
        self.publish();
    }

    /// Stores a server's report of itself, unless a later one has arrived already.
    pub fn record_report(&self, report: &ServerReport) {
        let now = self.env.now();
        let changed = {
            let mut servers = self.servers.borrow_mut();
            if report.turn > 0 && servers.get(&report.server).is_some_and(|previous| previous.report_seq >= report.turn)
            {
                // A later report has arrived already.
                return;
            }
            let deregistered = servers.get(&report.server).is_some_and(|previous| previous.deregistered);
            if deregistered && self.is_listed(&report.server) && !self.disabled.forget_departures {
                // It was sent before the server deregistered: a server stays on the list until it has ended.
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

    /// Records that a server deregistered itself because it ends.
    pub fn record_departure(&self, server: &str) {
        if let Some(record) = self.servers.borrow_mut().get_mut(server) {
            record.deregistered = true;
            record.gone = true;
            record.last_report = self.env.now();
        }
        self.publish_soon();
    }

    /// The other address at which a server of this name still answers this control node, if any.
    pub fn responding_address(&self, report: &ServerReport) -> Option<String> {
        let now = self.env.now();
        let address = self.servers.borrow().get(&report.server)?.addr.clone();
        let answered_lately = self
            .log_samples
            .borrow()
            .get(&report.server)
            .is_some_and(|sample| now.saturating_sub(sample.received_at) < self.bounds.server_gone_after());
        (address != report.addr && answered_lately).then_some(address)
    }

    /// Whether the server is in a group whose servers register themselves.
    fn is_listed(&self, server: &str) -> bool {
        self.consensus.image().is_some_and(|image| image.group_of(server).is_some_and(|group| group.confirms))
    }

    /// Whether the server is in a group or leaving one.
    pub fn is_known(&self, server: &str) -> bool {
        self.consensus.image().is_some_and(|image| image.group_including_leaving(server).is_some())
    }

    /// The zones that servers and nodes report, sorted and without duplicates.
    pub fn observed_zones(&self) -> Vec<String> {
        let mut zones: Vec<String> = self.servers.borrow().values().map(|record| record.zone.clone()).collect();
        zones.extend(self.nodes.borrow().values().map(|node| node.node.zone.clone()));
        zones.sort();
        zones.dedup();
        zones
    }

    /// For how long this control node could have noticed that something happened after `start`: the time in which its
    /// own tasks were late is left out, as what arrived then lies unread.
    pub(super) fn watched_since(&self, start: Duration) -> Duration {
        self.loop_lag.responsive_since(start)
    }

    /// Marks silent servers as gone, and forgets silent nodes.
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
                let silent = self.watched_since(record.last_report.max(last_answer)) > gone_after;
                changed |= record.gone != (silent || record.deregistered);
                record.gone = silent || record.deregistered;
            }
            changed |= self.forget_servers(now);
            self.nodes.borrow_mut().retain(|_, record| now.saturating_sub(record.last_heartbeat) < gone_after * 2);
            // Nodes that come or go at the same time are published together.
            changed |= *self.published_nodes.borrow() != self.nodes_to_publish();
            if changed {
                self.publish_soon();
            }
        }
    }

    /// Forgets servers that are in no group and have been gone for so long that no report of theirs can be in transit.
    /// Returns whether there were any.
    fn forget_servers(&self, now: Duration) -> bool {
        let Some(image) = self.consensus.image() else { return false };
        let mut servers = self.servers.borrow_mut();
        let before = servers.len();
        let forget_after = self.bounds.server_gone_after() * FORGET_AFTER_FACTOR;
        // For servers taken over from an earlier leader the time counts from the start of this term.
        let since = self.consensus.term().1;
        servers.retain(|name, record| {
            !record.gone
                || image.group_including_leaving(name).is_some()
                || now < record.last_report.max(since) + forget_after
        });
        servers.len() != before
    }

    /// Writes a log line.
    pub(crate) fn log(&self, component: Component, text: impl AsRef<str>) {
        self.env.log(component, text);
    }
}
