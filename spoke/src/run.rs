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
    decide::Decider,
    door::{Guest, StatusPages},
    gauge::Gauges,
    pool::Pool,
    talk::SessionOpener,
    view::{Event, Journal},
    work::{Caller, WorkContext},
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
const RESTING_PARTS: u32 = 4;

/// The pools of all servers.
pub struct Pools {
    env: Env,
    most: usize,
    dial: Duration,
    /// How long a connection to a scarce server may rest.
    resting: Duration,
    manner: Option<Rc<dyn ServerProtocol>>,
    map: RefCell<BTreeMap<String, Rc<Pool>>>,
    disabled: DisabledGuards,
    /// How many servers this node had no share of when last looked at.
    noted_without_share: Cell<usize>,
    /// Rung when a pool came or went.
    pub bell: Notify,
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
            most,
            dial,
            resting,
            manner,
            disabled,
            noted_without_share: Cell::default(),
            map: RefCell::default(),
            bell: Notify::default(),
        })
    }

    /// The pool of a server.
    pub fn get(&self, server: &str) -> Option<Rc<Pool>> {
        self.map.borrow().get(server).cloned()
    }

    /// Every pool.
    pub fn all(&self) -> BTreeMap<String, Rc<Pool>> {
        self.map.borrow().clone()
    }

    /// How many connections a server's pool may open.
    pub fn limit(&self, server: &str) -> usize {
        self.map.borrow().get(server).map_or(0, |p| p.limit())
    }

    /// Since when a server's pool could open no connection.
    pub fn trying(&self, server: &str) -> Option<Duration> {
        self.map.borrow().get(server).and_then(|p| p.trying())
    }

    /// How busy a server's pool is, as a part of its share.
    pub fn load(&self, server: &str) -> f64 {
        let map = self.map.borrow();
        map.get(server).map_or(1.0, |p| (p.used() + p.waiting()) as f64 / p.limit().max(1) as f64)
    }

    /// Follows the view: a pool for each server, each within its share while that stands.
    async fn follow(self: Rc<Self>, journal: Rc<Journal>, step: Duration) -> Result<(), Infallible> {
        loop {
            let seen = journal.bell.generation();
            self.settle(&journal);
            let _ = self.env.timeout(step, journal.bell.changed_since(seen)).await;
        }
    }

    /// How many servers this node has no share of.
    pub fn without_share(&self) -> usize {
        self.map.borrow().values().filter(|pool| pool.limit() == 0).count()
    }

    /// Logs when this node comes to have no share of some servers, and when it has one of each again.
    fn note_shares(&self) {
        let (without, all) = (self.without_share(), self.map.borrow().len());
        if (without > 0) != (self.noted_without_share.get() > 0) {
            self.env.log(Component::Pool, format!("no share of {without} of {all} servers"));
        }
        self.noted_without_share.set(without);
    }

    fn settle(&self, journal: &Journal) {
        let now = self.env.now();
        let mut moved = false;
        {
            let view = journal.view();
            let mut map = self.map.borrow_mut();
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
                    let speech = match (home, &self.manner) {
                        (Some(g), Some(m)) => Some((m.clone(), g.name.clone())),
                        (Some(_), None) => continue,
                        _ => None,
                    };
                    map.insert(
                        name.clone(),
                        Pool::new(&self.env, name, addr, self.most, self.dial, self.resting, speech),
                    );
                    moved = true;
                }
            }
        }
        for (name, pool) in self.all() {
            let share = journal.view().shares.get(&name).copied();
            let share = share.filter(|share| now < share.until || self.disabled.no_confirm);
            let limit = share.map_or(0, |share| share.count as usize);
            pool.scarce.set(share.is_some_and(|share| share.scarce));
            pool.sharers.set(share.map_or(1, |share| share.sharers));
            if limit != pool.limit() {
                pool.set_limit(limit);
            }
            pool.give_back_resting();
        }
        self.note_shares();
        if moved {
            self.bell.notify_waiters();
        }
    }
}

struct Node {
    env: Env,
    journal: Rc<Journal>,
    gauges: Rc<Gauges>,
    pools: Rc<Pools>,
    hurry: Notify,
    /// After how long without an answer from a server that is read seldom this node tells nothing of it.
    rarely_asked: Duration,
}

impl RelayHandler for Node {
    fn is_leader(&self) -> bool {
        false
    }

    fn fill_heartbeat(&self, beat: &mut NodeHeartbeat) {
        let now = self.env.now();
        let view = self.journal.view();
        for (name, pool) in self.pools.all() {
            let count = pool.limit().max(pool.open()) as u64;
            beat.shares.push(HeldShare { server: name.clone(), count, want: pool.want() as u64 });
            if pool.limit() > 0 {
                let x = self.gauges.sight(&name);
                let silent = x.silent(pool.trying());
                if pool.reading_factor() > 1 && silent.is_none() && x.at.is_none_or(|t| now > t + self.rarely_asked) {
                    // Nothing was asked lately, so nothing can be told.
                    continue;
                }
                let age = match pool.speech {
                    // How long a question stands unanswered: silence tells nothing where nothing was asked.
                    Some(_) => silent.map_or(0, |t| now.saturating_sub(t).as_millis() as u64),
                    None => x.at.map_or(u64::MAX / 2, |t| now.saturating_sub(t).as_millis() as u64),
                };
                beat.observations.push(ServerObservation {
                    server: name,
                    age,
                    epoch: x.place.epoch,
                    index: x.place.index,
                    refused: x.refused > 1,
                    lost_since_admission: x.back.unwrap_or(0),
                });
            }
        }
        for (group, l) in view.leads.iter().filter(|(_, l)| now < l.until) {
            beat.primary_leases.push(PrimaryLeaseGrant {
                group: group.clone(),
                server: l.server.clone(),
                epoch: l.line,
                valid_ms: 0,
            });
        }
    }

    fn on_ack(&self, ret: NodeHeartbeatAck, sent: Duration) {
        let before = self.journal.view().handed;
        self.journal.append(Event::Returned { ret, sent });
        if self.journal.view().handed != before {
            // The sooner the leading hub hears that the grant is handed back, the sooner it may elect.
            self.hurry.notify_waiters();
        }
    }

    fn on_snapshot(&self, news: &Rc<Snapshot>) {
        self.journal.append(Event::News(news.clone()));
    }

    fn handle_heartbeat(&self, _beat: NodeHeartbeat) -> Option<NodeHeartbeatAck> {
        None
    }

    fn handle_request(&self, _ask: ForwardedRequest, _done: Box<dyn FnOnce(ForwardedResponse)>) {}

    fn on_other_frame(&self, _from: &Hello, _body: Body, _out: &LinkWriter) {}
}

/// A running spoke.
pub struct Spoke {
    env: Env,
    pub relay: Rc<Relay>,
    pub door: Endpoint,
    gauges: Rc<Gauges>,
    works: Rc<WorkContext>,
    bounds: base::Bounds,
    _tree: Supervisor,
}

/// Starts a spoke; it runs for as long as the returned value lives.
pub async fn run(env: &Env, place: &NodeConfig, disabled: DisabledGuards) -> std::io::Result<Spoke> {
    run_in(env, place, disabled, None).await
}

/// Starts a spoke that speaks to servers which confirm commits in the users' manner.
pub async fn run_in(
    env: &Env,
    place: &NodeConfig,
    disabled: DisabledGuards,
    manner: Option<Rc<dyn ServerProtocol>>,
) -> std::io::Result<Spoke> {
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
        bounds.lease_duration() / RESTING_PARTS,
        disabled,
        manner,
    );
    let gauges = Gauges::new(env, journal.clone(), bounds.clone(), place.policy.clone(), disabled.grow);
    let relay = Relay::new(env, who.clone(), bounds.clone());
    relay.set_handler(Rc::new(Node {
        env: env.clone(),
        journal: journal.clone(),
        gauges: gauges.clone(),
        pools: pools.clone(),
        hurry: relay.urgent_heartbeat.clone(),
        rarely_asked: bounds.server_missed_after() * 2,
    }));
    let door = Endpoint::new(place.max_sessions, place.max_body_bytes);
    door.accept_truncated_bodies.set(disabled.cut_bodies);
    let decider = Decider {
        env: env.clone(),
        name: place.name.clone(),
        area: place.zone.clone(),
        journal: journal.clone(),
        gauges: gauges.clone(),
        pools: pools.clone(),
        bounds: bounds.clone(),
        keep_on: place.serve_in_evacuated_zone,
        disabled,
    };
    let works = Rc::new(WorkContext {
        env: env.clone(),
        decider,
        gauges: gauges.clone(),
        journal: journal.clone(),
        pools: pools.clone(),
        tally: Default::default(),
        ids: Cell::new(0),
        sends: Default::default(),
    });

    let mut tree = Supervisor::new(env);
    relay.supervise(&mut tree, peer);
    let (p, j, step) = (pools.clone(), journal.clone(), bounds.control_heartbeat());
    tree.child("pools", move || p.clone().follow(j.clone(), step));
    let (g, p) = (gauges.clone(), pools.clone());
    tree.child("samples", move || g.clone().samples(p.clone()));
    let g = gauges.clone();
    tree.child("evaluations", move || g.clone().evaluations());
    let lag = LoopLag::new(env, bounds.control_heartbeat());
    let l = lag.clone();
    tree.child("loop lag", move || l.clone().watch());
    let show = Rc::new(StatusPages { works: works.clone(), relay: relay.clone(), lag });
    let (e, d, w, r) = (env.clone(), door.clone(), works.clone(), relay.clone());
    tree.child("door", move || {
        let (w, r, s) = (w.clone(), r.clone(), show.clone());
        let make = Rc::new(move || {
            Rc::new(Guest { caller: Caller::new(&w), relay: r.clone(), show: s.clone() }) as Rc<dyn RequestHandler>
        });
        http::serve(e.clone(), sock.clone(), d.clone(), make)
    });
    env.log(Component::Main, format!("spoke {} in area {} serves {}", who.name, who.zone, place.http));
    Ok(Spoke { env: env.clone(), relay, door, gauges, works, bounds, _tree: tree })
}

impl Spoke {
    /// Takes a changed policy; the standing lists are evaluated anew at once.
    pub fn policy(&self, new: &PolicySettings) {
        if *self.gauges.policy.borrow() == *new {
            return;
        }
        *self.gauges.policy.borrow_mut() = new.clone();
        self.gauges.changed.notify_waiters();
        self.env.log(Component::Pick, "the policy was changed");
    }

    /// Lets what is in flight end, hands everything back, closes the doors.
    pub async fn leave(&self) {
        if !self.works.decider.disabled.no_linger {
            // Each answer now tells its caller to come back elsewhere; only those that stay idle are closed on.
            self.door.close();
            let end = self.env.now() + self.bounds.evacuation_grace();
            self.wait(end).await;
            self.door.close_idle();
            self.wait(end + self.bounds.statement_timeout()).await;
        }
        self.relay.leave();
        self.env.sleep(self.bounds.control_heartbeat()).await;
        self.env.log(Component::Main, format!("{} sessions left open at the end", self.door.open_connections.get()));
    }

    async fn wait(&self, end: Duration) {
        while self.door.open_connections.get() > 0 && self.env.now() < end {
            self.env.sleep(self.bounds.control_heartbeat() / 4).await;
        }
    }

    /// Where a door in the users' manner opens its sessions.
    pub fn host(&self) -> Rc<dyn SessionProvider> {
        Rc::new(SessionOpener { works: self.works.clone() })
    }

    /// Hands everything back, once the doors of the users' manner are closed.
    pub async fn hand_back(&self) {
        self.door.close_idle();
        self.relay.leave();
        self.env.sleep(self.bounds.control_heartbeat()).await;
    }

    /// How many sessions were ever opened.
    pub fn sessions(&self) -> u64 {
        self.works.tally.sessions.get()
    }
}
