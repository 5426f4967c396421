//! Puts a spoke together and runs it under its supervisor.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    convert::Infallible,
    rc::Rc,
    time::Duration,
};

use base::{
    bell::Bell,
    http::{self, Door, Session},
    loop_lag::LoopLag,
    seam::{Env, Part},
    settings::{Place, PolicySettings},
    talk::{Host, ServerProtocol},
    tree::Tree,
};
use wire::{
    Ask, AskReturn, Beat, BeatReturn, Body, Held, Hello, Lead, Out, Sight, Snapshot,
    relay::{Head, Relay, Who},
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
    pub bell: Bell,
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
            bell: Bell::default(),
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
            let seen = journal.bell.count();
            self.settle(&journal);
            let _ = self.env.within(step, journal.bell.after(seen)).await;
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
            self.env.log(Part::Pool, format!("no share of {without} of {all} servers"));
        }
        self.noted_without_share.set(without);
    }

    fn settle(&self, journal: &Journal) {
        let now = self.env.now();
        let mut moved = false;
        {
            let view = journal.view();
            let mut map = self.map.borrow_mut();
            let allowed = |s: &str| view.image.as_ref().is_some_and(|i| i.home(s).is_some());
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
                    let home = view.image.as_ref().and_then(|i| i.home(name)).filter(|g| g.confirms);
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
            self.bell.ring();
        }
    }
}

struct Node {
    env: Env,
    journal: Rc<Journal>,
    gauges: Rc<Gauges>,
    pools: Rc<Pools>,
    hurry: Bell,
    /// After how long without an answer from a server that is read seldom this node tells nothing of it.
    rarely_asked: Duration,
}

impl Head for Node {
    fn rooted(&self) -> bool {
        false
    }

    fn beat(&self, beat: &mut Beat) {
        let now = self.env.now();
        let view = self.journal.view();
        for (name, pool) in self.pools.all() {
            let count = pool.limit().max(pool.open()) as u64;
            beat.shares.push(Held { server: name.clone(), count, want: pool.want() as u64 });
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
                beat.sights.push(Sight {
                    server: name,
                    age,
                    line: x.place.line,
                    index: x.place.index,
                    refused: x.refused > 1,
                    back: x.back.unwrap_or(0),
                });
            }
        }
        for (group, l) in view.leads.iter().filter(|(_, l)| now < l.until) {
            beat.leads.push(Lead { group: group.clone(), server: l.server.clone(), line: l.line, span: 0 });
        }
    }

    fn returned(&self, ret: BeatReturn, sent: Duration) {
        let before = self.journal.view().handed;
        self.journal.append(Event::Returned { ret, sent });
        if self.journal.view().handed != before {
            // The sooner the leading hub hears that the grant is handed back, the sooner it may elect.
            self.hurry.ring();
        }
    }

    fn news(&self, news: &Rc<Snapshot>) {
        self.journal.append(Event::News(news.clone()));
    }

    fn beaten(&self, _beat: Beat) -> Option<BeatReturn> {
        None
    }

    fn asked(&self, _ask: Ask, _done: Box<dyn FnOnce(AskReturn)>) {}

    fn other(&self, _from: &Hello, _body: Body, _out: &Out) {}
}

/// A running spoke.
pub struct Spoke {
    env: Env,
    pub relay: Rc<Relay>,
    pub door: Door,
    gauges: Rc<Gauges>,
    works: Rc<WorkContext>,
    bounds: base::Bounds,
    _tree: Tree,
}

/// Starts a spoke; it runs for as long as the returned value lives.
pub async fn run(env: &Env, place: &Place, disabled: DisabledGuards) -> std::io::Result<Spoke> {
    run_in(env, place, disabled, None).await
}

/// Starts a spoke that speaks to servers which confirm commits in the users' manner.
pub async fn run_in(
    env: &Env,
    place: &Place,
    disabled: DisabledGuards,
    manner: Option<Rc<dyn ServerProtocol>>,
) -> std::io::Result<Spoke> {
    let who = Who {
        name: place.name.clone(),
        area: place.area.clone(),
        hub: false,
        peer: place.peer,
        http: place.http,
        seeds: place.seeds.clone(),
        boot: env.rand(),
    };
    let peer = env.listen(place.peer).await?;
    let sock: http::Slot = Rc::new(RefCell::new(Some(env.listen(place.http).await?)));
    let bounds = place.bounds.clone();
    let journal = Journal::new(env);
    let pools = Pools::new(env, place.most_inbox, bounds.call(), bounds.grant() / RESTING_PARTS, disabled, manner);
    let gauges = Gauges::new(env, journal.clone(), bounds.clone(), place.policy.clone(), disabled.grow);
    let relay = Relay::new(env, who.clone(), bounds.clone());
    relay.lead(Rc::new(Node {
        env: env.clone(),
        journal: journal.clone(),
        gauges: gauges.clone(),
        pools: pools.clone(),
        hurry: relay.hurry.clone(),
        rarely_asked: bounds.missed() * 2,
    }));
    let door = Door::new(place.most_sessions, place.most_body);
    door.cut.set(disabled.cut_bodies);
    let decider = Decider {
        env: env.clone(),
        name: place.name.clone(),
        area: place.area.clone(),
        journal: journal.clone(),
        gauges: gauges.clone(),
        pools: pools.clone(),
        bounds: bounds.clone(),
        keep_on: place.keep_on,
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

    let mut tree = Tree::new(env);
    relay.tend(&mut tree, peer);
    let (p, j, step) = (pools.clone(), journal.clone(), bounds.pulse());
    tree.child("pools", move || p.clone().follow(j.clone(), step));
    let (g, p) = (gauges.clone(), pools.clone());
    tree.child("samples", move || g.clone().samples(p.clone()));
    let g = gauges.clone();
    tree.child("evaluations", move || g.clone().evaluations());
    let lag = LoopLag::new(env, bounds.pulse());
    let l = lag.clone();
    tree.child("loop lag", move || l.clone().watch());
    let show = Rc::new(StatusPages { works: works.clone(), relay: relay.clone(), lag });
    let (e, d, w, r) = (env.clone(), door.clone(), works.clone(), relay.clone());
    tree.child("door", move || {
        let (w, r, s) = (w.clone(), r.clone(), show.clone());
        let make = Rc::new(move || {
            Rc::new(Guest { caller: Caller::new(&w), relay: r.clone(), show: s.clone() }) as Rc<dyn Session>
        });
        http::serve(e.clone(), sock.clone(), d.clone(), make)
    });
    env.log(Part::Main, format!("spoke {} in area {} serves {}", who.name, who.area, place.http));
    Ok(Spoke { env: env.clone(), relay, door, gauges, works, bounds, _tree: tree })
}

impl Spoke {
    /// Takes a changed policy; the standing lists are evaluated anew at once.
    pub fn policy(&self, new: &PolicySettings) {
        if *self.gauges.policy.borrow() == *new {
            return;
        }
        *self.gauges.policy.borrow_mut() = new.clone();
        self.gauges.changed.ring();
        self.env.log(Part::Pick, "the policy was changed");
    }

    /// Lets what is in flight end, hands everything back, closes the doors.
    pub async fn leave(&self) {
        if !self.works.decider.disabled.no_linger {
            // Each answer now tells its caller to come back elsewhere; only those that stay idle are closed on.
            self.door.close();
            let end = self.env.now() + self.bounds.leave();
            self.wait(end).await;
            self.door.end();
            self.wait(end + self.bounds.statement()).await;
        }
        self.relay.leave();
        self.env.sleep(self.bounds.pulse()).await;
        self.env.log(Part::Main, format!("{} sessions left open at the end", self.door.open.get()));
    }

    async fn wait(&self, end: Duration) {
        while self.door.open.get() > 0 && self.env.now() < end {
            self.env.sleep(self.bounds.pulse() / 4).await;
        }
    }

    /// Where a door in the users' manner opens its sessions.
    pub fn host(&self) -> Rc<dyn Host> {
        Rc::new(SessionOpener { works: self.works.clone() })
    }

    /// Hands everything back, once the doors of the users' manner are closed.
    pub async fn hand_back(&self) {
        self.door.end();
        self.relay.leave();
        self.env.sleep(self.bounds.pulse()).await;
    }

    /// How many sessions were ever opened.
    pub fn sessions(&self) -> u64 {
        self.works.tally.sessions.get()
    }
}
