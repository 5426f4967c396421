//! Puts a spoke together and runs it under its supervisor.

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

/// Guards that tests take away to see that they are needed; the programs leave all in place.
#[derive(Clone, Copy, Debug, Default)]
pub struct DisabledGuards {
    /// Send a write again though its bytes may have left.
    pub resend: bool,
    /// Act on leader grants that ran out.
    pub no_fence: bool,
    /// Acknowledge without a second server.
    pub no_second: bool,
    /// Read from followers whatever their position.
    pub no_fresh: bool,
    /// Serve without the leading hub's confirmation, on shares that ran out.
    pub no_confirm: bool,
    /// Send to draining, gone and emptied servers.
    pub no_veto: bool,
    /// Work on in an emptied area.
    pub no_empty: bool,
    /// Hand a connection on with the session state it wears.
    pub no_wipe: bool,
    /// Hand a connection on with the transaction that its caller left open.
    pub no_rollback: bool,
    /// Read for a session from followers whatever it wrote before.
    pub no_token: bool,
    /// Carry out an attempt as often as it comes.
    pub no_sends: bool,
    /// Take a body that was cut short for whole.
    pub cut_bodies: bool,
    /// Read from any server, whatever the doorway's group.
    pub no_group: bool,
    /// Remember only how far a server ever was.
    pub grow: bool,
    /// Close at once when asked to end.
    pub no_linger: bool,
}

/// A connection to a scarce server rests for so large a part of a lease at most.
const MAX_IDLE_LEASE_DIVISOR: u32 = 4;

/// The pools of all servers.
pub struct Pools {
    env: Env,
    max_waiters: usize,
    connect_timeout: Duration,
    /// How long a connection to a scarce server may rest.
    max_idle: Duration,
    protocol: Option<Rc<dyn ServerProtocol>>,
    by_server: RefCell<BTreeMap<String, Rc<Pool>>>,
    disabled: DisabledGuards,
    /// How many servers this node had no share of when last looked at.
    logged_without_share: Cell<usize>,
    /// Rung when a pool came or went.
    pub changed: Notify,
}

impl Pools {
    fn new(
        env: &Env,
        most: usize,
        dial: Duration,
        resting: Duration,
        disabled: DisabledGuards,
        manner: Option<Rc<dyn ServerProtocol>>,
    ) -> Rc<Self> {
        Rc::new(Self {
            env: env.clone(),
            max_waiters: most,
            connect_timeout: dial,
            max_idle: resting,
            protocol: manner,
            disabled,
            logged_without_share: Cell::default(),
            by_server: RefCell::default(),
            changed: Notify::default(),
        })
    }

    /// The pool of a server.
    pub fn get(&self, server: &str) -> Option<Rc<Pool>> {
        self.by_server.borrow().get(server).cloned()
    }

    /// Every pool.
    pub fn all(&self) -> BTreeMap<String, Rc<Pool>> {
        self.by_server.borrow().clone()
    }

    /// How many connections a server's pool may open.
    pub fn limit(&self, server: &str) -> usize {
        self.by_server.borrow().get(server).map_or(0, |p| p.limit())
    }

    /// Since when a server's pool could open no connection.
    pub fn connecting_since(&self, server: &str) -> Option<Duration> {
        self.by_server.borrow().get(server).and_then(|p| p.connecting_since())
    }

    /// How busy a server's pool is, as a part of its share.
    pub fn load(&self, server: &str) -> f64 {
        let map = self.by_server.borrow();
        map.get(server).map_or(1.0, |p| (p.in_use() + p.waiting()) as f64 / p.limit().max(1) as f64)
    }

    /// Follows the view: a pool for each server, each within its share while that stands.
    async fn follow_view(self: Rc<Self>, journal: Rc<Journal>, step: Duration) -> Result<(), Infallible> {
        loop {
            let seen = journal.changed.generation();
            self.update(&journal);
            let _ = self.env.timeout(step, journal.changed.changed_since(seen)).await;
        }
    }

    /// How many servers this node has no share of.
    pub fn without_share(&self) -> usize {
        self.by_server.borrow().values().filter(|pool| pool.limit() == 0).count()
    }

    /// Logs when this node comes to have no share of some servers, and when it has one of each again.
    fn log_missing_shares(&self) {
        let (without, all) = (self.without_share(), self.by_server.borrow().len());
        if (without > 0) != (self.logged_without_share.get() > 0) {
            self.env.log(Component::Pool, format!("no share of {without} of {all} servers"));
        }
        self.logged_without_share.set(without);
    }

    fn update(&self, journal: &Journal) {
        let now = self.env.now();
        let mut moved = false;
        {
            let view = journal.view();
            let mut map = self.by_server.borrow_mut();
            let allowed = |s: &str| view.image.as_ref().is_some_and(|i| i.group_of(s).is_some());
            map.retain(|name, pool| {
                let at = view.servers.get(name).map(|s| s.addr.as_str());
                let keep = allowed(name) && at == Some(&pool.addr.to_string());
                if !keep {
                    pool.set_limit(0);
                    moved = true;
                }
                keep
            });
            for (name, s) in view.servers.iter().filter(|(n, _)| allowed(n)) {
                let Ok(addr) = s.addr.parse() else { continue };
                if !map.contains_key(name) {
                    let home = view.image.as_ref().and_then(|i| i.group_of(name)).filter(|g| g.confirms);
                    let speech = match (home, &self.protocol) {
                        (Some(g), Some(m)) => Some((m.clone(), g.name.clone())),
                        (Some(_), None) => continue,
                        _ => None,
                    };
                    map.insert(
                        name.clone(),
                        Pool::new(&self.env, name, addr, self.max_waiters, self.connect_timeout, self.max_idle, speech),
                    );
                    moved = true;
                }
            }
        }
        for (name, pool) in self.all() {
            let share = journal.view().shares.get(&name).copied();
            let share = share.filter(|share| now < share.valid_until || self.disabled.no_confirm);
            let limit = share.map_or(0, |share| share.count as usize);
            pool.scarce.set(share.is_some_and(|share| share.scarce));
            pool.sharers.set(share.map_or(1, |share| share.sharers));
            if limit != pool.limit() {
                pool.set_limit(limit);
            }
            pool.close_long_idle();
        }
        self.log_missing_shares();
        if moved {
            self.changed.notify_waiters();
        }
    }
}

struct NodeRelayHandler {
    env: Env,
    journal: Rc<Journal>,
    health: Rc<HealthMeasurements>,
    pools: Rc<Pools>,
    urgent_heartbeat: Notify,
    /// After how long without an answer from a server that is read seldom this node tells nothing of it.
    max_report_age: Duration,
}

impl RelayHandler for NodeRelayHandler {
    fn is_leader(&self) -> bool {
        false
    }

    fn fill_heartbeat(&self, beat: &mut NodeHeartbeat) {
        let now = self.env.now();
        let view = self.journal.view();
        for (name, pool) in self.pools.all() {
            let count = pool.limit().max(pool.open()) as u64;
            beat.shares.push(HeldShare { server: name.clone(), count, want: pool.wanted() as u64 });
            if pool.limit() > 0 {
                let x = self.health.observation(&name);
                let silent = x.unresponsive_since(pool.connecting_since());
                if pool.sampling_factor() > 1
                    && silent.is_none()
                    && x.last_response_at.is_none_or(|t| now > t + self.max_report_age)
                {
                    // Nothing was asked lately, so nothing can be told.
                    continue;
                }
                let age = match pool.protocol {
                    // How long a question stands unanswered: silence tells nothing where nothing was asked.
                    Some(_) => silent.map_or(0, |t| now.saturating_sub(t).as_millis() as u64),
                    None => x.last_response_at.map_or(u64::MAX / 2, |t| now.saturating_sub(t).as_millis() as u64),
                };
                beat.observations.push(ServerObservation {
                    server: name,
                    age,
                    epoch: x.position.epoch,
                    index: x.position.index,
                    refused: x.refused_connections > 1,
                    lost_since_admission: x.lost_at_admission.unwrap_or(0),
                });
            }
        }
        for (group, l) in view.primary_leases.iter().filter(|(_, l)| now < l.valid_until) {
            beat.primary_leases.push(PrimaryLeaseGrant {
                group: group.clone(),
                server: l.server.clone(),
                epoch: l.epoch,
                valid_ms: 0,
            });
        }
    }

    fn on_ack(&self, ack: NodeHeartbeatAck, sent_at: Duration) {
        let before = self.journal.view().lost_leases;
        self.journal.append(Event::HeartbeatAck { ack, sent_at });
        if self.journal.view().lost_leases != before {
            // The sooner the leading hub hears that the grant is handed back, the sooner it may elect.
            self.urgent_heartbeat.notify_waiters();
        }
    }

    fn on_snapshot(&self, news: &Rc<Snapshot>) {
        self.journal.append(Event::Snapshot(news.clone()));
    }

    fn handle_heartbeat(&self, _beat: NodeHeartbeat) -> Option<NodeHeartbeatAck> {
        None
    }

    fn handle_request(&self, _ask: ForwardedRequest, _done: Box<dyn FnOnce(ForwardedResponse)>) {}

    fn on_other_frame(&self, _from: &Hello, _body: Body, _out: &LinkWriter) {}
}

/// A running spoke.
pub struct Node {
    env: Env,
    pub relay: Rc<Relay>,
    pub endpoint: Endpoint,
    health: Rc<HealthMeasurements>,
    context: Rc<ExecutionContext>,
    bounds: base::Bounds,
    _tree: Supervisor,
}

/// Starts a spoke; it runs for as long as the returned value lives.
pub async fn run(env: &Env, place: &NodeConfig, disabled: DisabledGuards) -> std::io::Result<Node> {
    run_with_protocol(env, place, disabled, None).await
}

/// Starts a spoke that speaks to servers which confirm commits in the users' manner.
pub async fn run_with_protocol(
    env: &Env,
    place: &NodeConfig,
    disabled: DisabledGuards,
    manner: Option<Rc<dyn ServerProtocol>>,
) -> std::io::Result<Node> {
    let who = NodeIdentity {
        name: place.name.clone(),
        zone: place.zone.clone(),
        is_control_node: false,
        peer: place.peer,
        http: place.http,
        seeds: place.seeds.clone(),
        boot_id: env.rand(),
    };
    let peer = env.listen(place.peer).await?;
    let sock: http::ListenerSlot = Rc::new(RefCell::new(Some(env.listen(place.http).await?)));
    let bounds = place.bounds.clone();
    let journal = Journal::new(env);
    let pools = Pools::new(
        env,
        place.max_queued,
        bounds.call_timeout(),
        bounds.lease_duration() / MAX_IDLE_LEASE_DIVISOR,
        disabled,
        manner,
    );
    let gauges = HealthMeasurements::new(env, journal.clone(), bounds.clone(), place.policy.clone(), disabled.grow);
    let relay = Relay::new(env, who.clone(), bounds.clone());
    relay.set_handler(Rc::new(NodeRelayHandler {
        env: env.clone(),
        journal: journal.clone(),
        health: gauges.clone(),
        pools: pools.clone(),
        urgent_heartbeat: relay.urgent_heartbeat.clone(),
        max_report_age: bounds.server_missed_after() * 2,
    }));
    let door = Endpoint::new(place.max_sessions, place.max_body_bytes);
    door.accept_truncated_bodies.set(disabled.cut_bodies);
    let decider = Router {
        env: env.clone(),
        name: place.name.clone(),
        zone: place.zone.clone(),
        journal: journal.clone(),
        health: gauges.clone(),
        pools: pools.clone(),
        bounds: bounds.clone(),
        serve_in_evacuated_zone: place.serve_in_evacuated_zone,
        disabled,
    };
    let works = Rc::new(ExecutionContext {
        env: env.clone(),
        router: decider,
        health: gauges.clone(),
        journal: journal.clone(),
        pools: pools.clone(),
        counters: Default::default(),
        last_session_id: Cell::new(0),
        attempts: Default::default(),
    });

    let mut tree = Supervisor::new(env);
    relay.supervise(&mut tree, peer);
    let (p, j, step) = (pools.clone(), journal.clone(), bounds.control_heartbeat());
    tree.child("pools", move || p.clone().follow_view(j.clone(), step));
    let (g, p) = (gauges.clone(), pools.clone());
    tree.child("samples", move || g.clone().run_sampling(p.clone()));
    let g = gauges.clone();
    tree.child("evaluations", move || g.clone().run_evaluations());
    let lag = LoopLag::new(env, bounds.control_heartbeat());
    let l = lag.clone();
    tree.child("loop lag", move || l.clone().watch());
    let show = Rc::new(StatusPages { context: works.clone(), relay: relay.clone(), loop_lag: lag });
    let (e, d, w, r) = (env.clone(), door.clone(), works.clone(), relay.clone());
    tree.child("door", move || {
        let (w, r, s) = (w.clone(), r.clone(), show.clone());
        let make = Rc::new(move || {
            Rc::new(NodeConnection { session: HttpSession::new(&w), relay: r.clone(), status_pages: s.clone() })
                as Rc<dyn RequestHandler>
        });
        http::serve(e.clone(), sock.clone(), d.clone(), make)
    });
    env.log(Component::Main, format!("spoke {} in area {} serves {}", who.name, who.zone, place.http));
    Ok(Node { env: env.clone(), relay, endpoint: door, health: gauges, context: works, bounds, _tree: tree })
}

impl Node {
    /// Takes a changed policy; the standing lists are evaluated anew at once.
    pub fn policy(&self, new: &PolicySettings) {
        if *self.health.policy.borrow() == *new {
            return;
        }
        *self.health.policy.borrow_mut() = new.clone();
        self.health.policy_changed.notify_waiters();
        self.env.log(Component::Pick, "the policy was changed");
    }

    /// Lets what is in flight end, hands everything back, closes the doors.
    pub async fn leave(&self) {
        if !self.context.router.disabled.no_linger {
            // Each answer now tells its caller to come back elsewhere; only those that stay idle are closed on.
            self.endpoint.close();
            let end = self.env.now() + self.bounds.evacuation_grace();
            self.wait_until_closed(end).await;
            self.endpoint.close_idle();
            self.wait_until_closed(end + self.bounds.statement_timeout()).await;
        }
        self.relay.leave();
        self.env.sleep(self.bounds.control_heartbeat()).await;
        self.env
            .log(Component::Main, format!("{} sessions left open at the end", self.endpoint.open_connections.get()));
    }

    async fn wait_until_closed(&self, end: Duration) {
        while self.endpoint.open_connections.get() > 0 && self.env.now() < end {
            self.env.sleep(self.bounds.control_heartbeat() / 4).await;
        }
    }

    /// Where a door in the users' manner opens its sessions.
    pub fn session_provider(&self) -> Rc<dyn SessionProvider> {
        Rc::new(SessionOpener { context: self.context.clone() })
    }

    /// Hands everything back, once the doors of the users' manner are closed.
    pub async fn release_all(&self) {
        self.endpoint.close_idle();
        self.relay.leave();
        self.env.sleep(self.bounds.control_heartbeat()).await;
    }

    /// How many sessions were ever opened.
    pub fn sessions(&self) -> u64 {
        self.context.counters.sessions.get()
    }
}
