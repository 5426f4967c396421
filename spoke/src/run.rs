//! Assembles a node from its parts and runs it under a supervisor.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    convert::Infallible,
    rc::Rc,
    time::Duration,
};

use base::{
    http::{self, Endpoint, RequestHandler},
    loop_lag::LoopLag,
    notify::Notify,
    protocol::{ServerProtocol, SessionProvider},
    runtime::{Component, Env},
    settings::{NodeConfig, PolicySettings},
    supervisor::Supervisor,
};
use wire::{
    Body, ForwardedRequest, ForwardedResponse, HeldShare, Hello, LinkWriter, NodeHeartbeat, NodeHeartbeatAck,
    PrimaryLeaseGrant, ServerObservation, Snapshot,
    relay::{NodeIdentity, Relay, RelayHandler},
};

use crate::{
    execution::{ExecutionContext, HttpSession},
    health::HealthMeasurements,
    http_endpoint::{NodeConnection, StatusPages},
    pool::Pool,
    protocol::SessionOpener,
    routing::Router,
    view::{Event, Journal},
};

/// Safeguards that tests disable to show that each one is needed. The programs disable none.
#[derive(Clone, Copy, Debug, Default)]
pub struct DisabledGuards {
    /// Send a write again although its bytes may have been sent.
    pub resend_writes: bool,
    /// Use primary leases that have expired.
    pub no_lease_check: bool,
    /// Acknowledge commits without a second copy.
    pub no_second_copy: bool,
    /// Read from replicas regardless of their position.
    pub no_freshness_check: bool,
    /// Serve without the leading control node's confirmation, and use shares that have expired.
    pub no_confirmation: bool,
    /// Send statements to draining and unreachable servers and to servers in evacuated zones.
    pub no_exclusion: bool,
    /// Keep working in an evacuated zone.
    pub no_evacuation: bool,
    /// Reuse a connection with the session state that is applied on it.
    pub no_session_reset: bool,
    /// Reuse a connection with the transaction that its client left open.
    pub no_rollback: bool,
    /// Read from replicas regardless of what the session wrote before.
    pub no_token: bool,
    /// Execute an attempt each time it arrives.
    pub no_attempt_ids: bool,
    /// Accept a truncated body as complete.
    pub accept_truncated_bodies: bool,
    /// Read from any server, regardless of the route's group.
    pub no_group_check: bool,
    /// Keep each server's highest position, even after its log lost entries.
    pub keep_highest_position: bool,
    /// Close at once on shutdown.
    pub no_graceful_shutdown: bool,
}

/// A connection to a scarce server may be idle for this fraction of a lease's duration.
const MAX_IDLE_LEASE_DIVISOR: u32 = 4;

/// The connection pools of all servers.
pub struct Pools {
    env: Env,
    max_waiters: usize,
    connect_timeout: Duration,
    /// How long a connection to a scarce server may be idle.
    max_idle: Duration,
    protocol: Option<Rc<dyn ServerProtocol>>,
    by_server: RefCell<BTreeMap<String, Rc<Pool>>>,
    disabled: DisabledGuards,
    /// How many servers this node had no share of at the last check.
    logged_without_share: Cell<usize>,
    /// Notified when a pool was added or removed.
    pub changed: Notify,
}

impl Pools {
    fn new(
        env: &Env,
        max_waiters: usize,
        connect_timeout: Duration,
        max_idle: Duration,
        disabled: DisabledGuards,
        protocol: Option<Rc<dyn ServerProtocol>>,
    ) -> Rc<Self> {
        Rc::new(Self {
            env: env.clone(),
            max_waiters,
            connect_timeout,
            max_idle,
            protocol,
            disabled,
            logged_without_share: Cell::default(),
            by_server: RefCell::default(),
            changed: Notify::default(),
        })
    }

    /// The pool of a server, if it is a member of a group.
    pub fn get(&self, server: &str) -> Option<Rc<Pool>> {
        self.by_server.borrow().get(server).cloned()
    }

    /// All pools by server.
    pub fn all(&self) -> BTreeMap<String, Rc<Pool>> {
        self.by_server.borrow().clone()
    }

    /// How many connections a server's pool may open.
    pub fn limit(&self, server: &str) -> usize {
        self.by_server.borrow().get(server).map_or(0, |p| p.limit())
    }

    /// Since when a server's pool has failed to open a connection.
    pub fn connecting_since(&self, server: &str) -> Option<Duration> {
        self.by_server.borrow().get(server).and_then(|p| p.connecting_since())
    }

    /// The load of a server's pool: connections in use and waiters, relative to its share.
    pub fn load(&self, server: &str) -> f64 {
        let by_server = self.by_server.borrow();
        by_server.get(server).map_or(1.0, |p| (p.in_use() + p.waiting()) as f64 / p.limit().max(1) as f64)
    }

    /// Keeps the pools in line with the view, at each change and at least once per `interval`: one pool for each
    /// server, limited to the node's share while that is valid.
    async fn follow_view(self: Rc<Self>, journal: Rc<Journal>, interval: Duration) -> Result<(), Infallible> {
        loop {
            let seen = journal.changed.generation();
            self.update(&journal);
            let _ = self.env.timeout(interval, journal.changed.changed_since(seen)).await;
        }
    }

    /// How many servers this node has no share of.
    pub fn without_share(&self) -> usize {
        self.by_server.borrow().values().filter(|pool| pool.limit() == 0).count()
    }

    /// Logs when this node starts to have no share of some servers, and when it has a share of every server again.
    fn log_missing_shares(&self) {
        let (without, all) = (self.without_share(), self.by_server.borrow().len());
        if (without > 0) != (self.logged_without_share.get() > 0) {
            self.env.log(Component::Pool, format!("no share of {without} of {all} servers"));
        }
        self.logged_without_share.set(without);
    }

    fn update(&self, journal: &Journal) {
        let now = self.env.now();
        let mut changed = false;
        {
            let view = journal.view();
            let mut by_server = self.by_server.borrow_mut();
            let in_group = |server: &str| view.group_of(server).is_some();
            by_server.retain(|name, pool| {
                let addr = view.servers.get(name).map(|s| s.addr.as_str());
                let keep = in_group(name) && addr == Some(&pool.addr.to_string());
                if !keep {
                    pool.set_limit(0);
                    changed = true;
                }
                keep
            });
            for (name, server) in view.servers.iter().filter(|(name, _)| in_group(name)) {
                let Ok(addr) = server.addr.parse() else { continue };
                if !by_server.contains_key(name) {
                    let confirming_group = view.group_of(name).filter(|g| g.confirms);
                    let protocol = match (confirming_group, &self.protocol) {
                        (Some(group), Some(protocol)) => Some((protocol.clone(), group.name.clone())),
                        (Some(_), None) => continue,
                        _ => None,
                    };
                    by_server.insert(
                        name.clone(),
                        Pool::new(
                            &self.env,
                            name,
                            addr,
                            self.max_waiters,
                            self.connect_timeout,
                            self.max_idle,
                            protocol,
                        ),
                    );
                    changed = true;
                }
            }
        }
        for (name, pool) in self.all() {
            let share = journal.view().shares.get(&name).copied();
            let share = share.filter(|share| now < share.valid_until || self.disabled.no_confirmation);
            let limit = share.map_or(0, |share| share.count as usize);
            pool.scarce.set(share.is_some_and(|share| share.scarce));
            pool.sharers.set(share.map_or(1, |share| share.sharers));
            if limit != pool.limit() {
                pool.set_limit(limit);
            }
            pool.close_long_idle();
        }
        self.log_missing_shares();
        if changed {
            self.changed.notify_waiters();
        }
    }
}

/// The node's part in the exchange with control nodes: reports in heartbeats, and applies acknowledgements and
/// snapshots.
struct NodeRelayHandler {
    env: Env,
    journal: Rc<Journal>,
    health: Rc<HealthMeasurements>,
    pools: Rc<Pools>,
    urgent_heartbeat: Notify,
    loop_lag: Rc<LoopLag>,
    /// Age of the last response after which a server that is sampled at a reduced rate is left out of heartbeats.
    max_report_age: Duration,
}

impl RelayHandler for NodeRelayHandler {
    fn is_leader(&self) -> bool {
        false
    }

    fn fill_heartbeat(&self, heartbeat: &mut NodeHeartbeat) {
        let now = self.env.now();
        let view = self.journal.view();
        for (name, pool) in self.pools.all() {
            let count = pool.limit().max(pool.open()) as u64;
            heartbeat.shares.push(HeldShare { server: name.clone(), count, wanted: pool.wanted() as u64 });
            if pool.limit() > 0 {
                let observation = self.health.observation(&name);
                let unresponsive_since = observation.unresponsive_since(pool.connecting_since());
                if pool.sampling_factor() > 1
                    && unresponsive_since.is_none()
                    && observation.last_response_at.is_none_or(|t| now > t + self.max_report_age)
                {
                    // Without a recent request there is nothing to report.
                    continue;
                }
                let age = match pool.protocol {
                    // How long a request has been unanswered: without a request, the lack of a response means nothing.
                    // The node's own lateness is left out: an answer may lie unread.
                    Some(_) => unresponsive_since.map_or(0, |t| self.loop_lag.responsive_since(t).as_millis() as u64),
                    None => {
                        observation.last_response_at.map_or(u64::MAX / 2, |t| now.saturating_sub(t).as_millis() as u64)
                    }
                };
                heartbeat.observations.push(ServerObservation {
                    server: name,
                    age_ms: age,
                    epoch: observation.position.epoch,
                    index: observation.position.index,
                    refused: observation.refused_connections > 1,
                    lost_since_admission: observation.lost_at_admission.unwrap_or(0),
                });
            }
        }
        for (group, lease) in view.primary_leases.iter().filter(|(_, lease)| now < lease.valid_until) {
            heartbeat.primary_leases.push(PrimaryLeaseGrant {
                group: group.clone(),
                server: lease.server.clone(),
                epoch: lease.epoch,
                valid_ms: 0,
            });
        }
    }

    fn on_ack(&self, ack: NodeHeartbeatAck, sent_at: Duration) {
        let lost_before = self.journal.view().lost_leases;
        self.journal.append(Event::HeartbeatAck { ack, sent_at });
        if self.journal.view().lost_leases != lost_before {
            // Sends a heartbeat at once: the leading control node may hold an election as soon as the release is
            // reported.
            self.urgent_heartbeat.notify_waiters();
        }
    }

    fn on_snapshot(&self, snapshot: &Rc<Snapshot>) {
        self.journal.append(Event::Snapshot(snapshot.clone()));
    }

    fn handle_heartbeat(&self, _heartbeat: NodeHeartbeat) -> Option<NodeHeartbeatAck> {
        None
    }

    fn handle_request(&self, _request: ForwardedRequest, _respond: Box<dyn FnOnce(ForwardedResponse)>) {}

    fn on_other_frame(&self, _from: &Hello, _body: Body, _writer: &LinkWriter) {}
}

/// A running node of the data plane.
pub struct Node {
    env: Env,
    pub relay: Rc<Relay>,
    pub endpoint: Endpoint,
    health: Rc<HealthMeasurements>,
    context: Rc<ExecutionContext>,
    bounds: base::Bounds,
    _tree: Supervisor,
}

/// Starts a node that serves HTTP only. It runs for as long as the returned value lives.
///
/// # Errors
/// If one of its addresses can't be listened on.
pub async fn run(env: &Env, config: &NodeConfig, disabled: DisabledGuards) -> std::io::Result<Node> {
    run_with_protocol(env, config, disabled, None).await
}

/// Starts a node that uses `protocol` for the servers of groups that confirm commits. Without a protocol, the node does
/// not use these servers.
///
/// # Errors
/// If one of its addresses can't be listened on.
pub async fn run_with_protocol(
    env: &Env,
    config: &NodeConfig,
    disabled: DisabledGuards,
    protocol: Option<Rc<dyn ServerProtocol>>,
) -> std::io::Result<Node> {
    let identity = NodeIdentity {
        name: config.name.clone(),
        zone: config.zone.clone(),
        is_control_node: false,
        peer: config.peer,
        http: config.http,
        seeds: config.seeds.clone(),
        boot_id: env.rand(),
    };
    let peer_listener = env.listen(config.peer).await?;
    let http_listener: http::ListenerSlot = Rc::new(RefCell::new(Some(env.listen(config.http).await?)));
    let bounds = config.bounds.clone();
    let journal = Journal::new(env);
    let pools = Pools::new(
        env,
        config.max_queued,
        bounds.call_timeout(),
        bounds.lease_duration() / MAX_IDLE_LEASE_DIVISOR,
        disabled,
        protocol,
    );
    let health = HealthMeasurements::new(
        env,
        journal.clone(),
        bounds.clone(),
        config.policy.clone(),
        disabled.keep_highest_position,
    );
    let relay = Relay::new(env, identity.clone(), bounds.clone());
    let loop_lag = LoopLag::new(env, bounds.control_heartbeat());
    relay.set_loop_lag(loop_lag.clone());
    relay.set_handler(Rc::new(NodeRelayHandler {
        env: env.clone(),
        journal: journal.clone(),
        health: health.clone(),
        pools: pools.clone(),
        urgent_heartbeat: relay.urgent_heartbeat.clone(),
        loop_lag: loop_lag.clone(),
        max_report_age: bounds.server_missed_after() * 2,
    }));
    let endpoint = Endpoint::new(config.max_sessions, config.max_body_bytes);
    endpoint.accept_truncated_bodies.set(disabled.accept_truncated_bodies);
    let router = Router {
        env: env.clone(),
        name: config.name.clone(),
        zone: config.zone.clone(),
        journal: journal.clone(),
        health: health.clone(),
        pools: pools.clone(),
        bounds: bounds.clone(),
        serve_in_evacuated_zone: config.serve_in_evacuated_zone,
        disabled,
    };
    let context = Rc::new(ExecutionContext {
        env: env.clone(),
        router,
        health: health.clone(),
        journal: journal.clone(),
        pools: pools.clone(),
        counters: Default::default(),
        last_session_id: Cell::new(0),
        attempts: Default::default(),
    });

    let mut tree = Supervisor::new(env);
    relay.supervise(&mut tree, peer_listener);
    let (child_pools, child_journal, interval) = (pools.clone(), journal.clone(), bounds.control_heartbeat());
    tree.child("pools", move || child_pools.clone().follow_view(child_journal.clone(), interval));
    let (child_health, child_pools) = (health.clone(), pools.clone());
    tree.child("samples", move || child_health.clone().run_sampling(child_pools.clone()));
    let child_health = health.clone();
    tree.child("evaluations", move || child_health.clone().run_evaluations());
    let child_loop_lag = loop_lag.clone();
    tree.child("loop lag", move || child_loop_lag.clone().watch());
    let status_pages = Rc::new(StatusPages { context: context.clone(), relay: relay.clone(), loop_lag });
    let (child_env, child_endpoint, child_context, child_relay) =
        (env.clone(), endpoint.clone(), context.clone(), relay.clone());
    tree.child("door", move || {
        let (context, relay, status_pages) = (child_context.clone(), child_relay.clone(), status_pages.clone());
        let new_connection = Rc::new(move || {
            Rc::new(NodeConnection {
                session: HttpSession::new(&context),
                relay: relay.clone(),
                status_pages: status_pages.clone(),
            }) as Rc<dyn RequestHandler>
        });
        http::serve(child_env.clone(), http_listener.clone(), child_endpoint.clone(), new_connection)
    });
    env.log(
        Component::Main,
        format!(
            "spoke {} in area {} serves {}, version {}",
            identity.name,
            identity.zone,
            config.http,
            build_info::BUILD
        ),
    );
    Ok(Node { env: env.clone(), relay, endpoint, health, context, bounds, _tree: tree })
}

impl Node {
    /// Applies a changed selection policy; all eligible sets are evaluated again at once.
    pub fn apply_policy(&self, new: &PolicySettings) {
        if *self.health.policy.borrow() == *new {
            return;
        }
        *self.health.policy.borrow_mut() = new.clone();
        self.health.policy_changed.notify_waiters();
        self.env.log(Component::Selection, "the policy was changed");
    }

    /// Shuts the node down: closes its endpoint once the open sessions have ended or their time is over, and releases
    /// leases and shares.
    pub async fn shut_down(&self) {
        if !self.context.router.disabled.no_graceful_shutdown {
            // From now on each response asks its client to reconnect to another node; after the grace period, idle
            // sessions are closed.
            self.endpoint.close();
            let grace_end = self.env.now() + self.bounds.evacuation_grace();
            self.wait_until_closed(grace_end).await;
            self.endpoint.close_idle();
            self.wait_until_closed(grace_end + self.bounds.statement_timeout()).await;
        }
        self.relay.leave();
        self.env.sleep(self.bounds.control_heartbeat()).await;
        self.env
            .log(Component::Main, format!("{} sessions left open at the end", self.endpoint.open_connections.get()));
    }

    /// Waits until no connection is open, or until `deadline`.
    async fn wait_until_closed(&self, deadline: Duration) {
        while self.endpoint.open_connections.get() > 0 && self.env.now() < deadline {
            self.env.sleep(self.bounds.control_heartbeat() / 4).await;
        }
    }

    /// Opens sessions for an endpoint that uses the platform protocol.
    pub fn session_provider(&self) -> Rc<dyn SessionProvider> {
        Rc::new(SessionOpener { context: self.context.clone() })
    }

    /// Releases leases and shares, once the endpoints of the platform protocol are closed.
    pub async fn release_all(&self) {
        self.endpoint.close_idle();
        self.relay.leave();
        self.env.sleep(self.bounds.control_heartbeat()).await;
    }

    /// How many sessions were opened since the start.
    pub fn sessions(&self) -> u64 {
        self.context.counters.sessions.get()
    }
}
