//! What the leading hub does: knows servers and nodes as they tell, gives grants, elects leaders, sends news.

mod crown;
mod lead;
mod ledger;
mod muster;
mod probe;
mod registry;
mod roll;
mod show;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use base::{
    Bounds,
    bell::Bell,
    edge::backend::Report,
    seam::{Env, Part},
    talk::Manner,
};
use wire::{Beat, BeatReturn, Image, Mark, News, relay::Relay};

use crate::{consensus::Consensus, run::Tricks};

pub use lead::Standing;
use ledger::Ledger;
use probe::{Seen, Talk};
use registry::{Seat, Told};
use roll::{Phase, Roll};

/// How many nodes news tells of at most.
const FELLOWS: usize = 64;

/// The leading hub's desk; empty on the others.
pub struct Duty {
    pub(crate) env: Env,
    pub(crate) agree: Rc<Consensus>,
    pub(crate) relay: Rc<Relay>,
    pub(crate) bounds: Bounds,
    pub(crate) platform: Cell<Option<SocketAddr>>,
    pub(crate) manner: Option<Rc<dyn Manner>>,
    /// What servers that confirm are to be told, and what they last showed of themselves.
    talks: RefCell<BTreeMap<String, Talk>>,
    servers: RefCell<BTreeMap<String, Told>>,
    seats: RefCell<BTreeMap<String, Seat>>,
    /// The nodes that the newest news told of.
    told_nodes: RefCell<Vec<wire::Node>>,
    ledger: RefCell<Ledger>,
    standings: RefCell<BTreeMap<String, Standing>>,
    seen: RefCell<BTreeMap<String, Seen>>,
    rolls: RefCell<BTreeMap<String, Roll>>,
    phases: RefCell<BTreeMap<String, Phase>>,
    /// Servers whose address turned the hub away at once, twice in a row.
    refused: RefCell<BTreeSet<String>>,
    term: Cell<u64>,
    count: Cell<u64>,
    /// Until when servers are read more often, as somebody waits for what is read.
    urgent: Cell<Duration>,
    /// Rung when servers, nodes or grants moved.
    pub bell: Bell,
    pub(crate) tricks: Tricks,
}

impl Duty {
    /// A desk that nothing has been told yet.
    pub fn new(
        env: &Env,
        agree: Rc<Consensus>,
        relay: Rc<Relay>,
        bounds: Bounds,
        platform: Option<SocketAddr>,
        manner: Option<Rc<dyn Manner>>,
        tricks: Tricks,
    ) -> Rc<Self> {
        let me = Rc::new(Self {
            env: env.clone(),
            agree,
            relay,
            bounds,
            platform: Cell::new(platform),
            manner,
            talks: RefCell::default(),
            servers: RefCell::default(),
            seats: RefCell::default(),
            told_nodes: RefCell::default(),
            ledger: RefCell::default(),
            standings: RefCell::default(),
            seen: RefCell::default(),
            rolls: RefCell::default(),
            phases: RefCell::default(),
            refused: RefCell::default(),
            term: Cell::new(0),
            count: Cell::new(0),
            urgent: Cell::default(),
            bell: Bell::default(),
            tricks,
        });
        let weak = Rc::downgrade(&me);
        me.agree.report_leases(move || {
            let me = weak.upgrade();
            me.map(|m| m.ledger.borrow().left(m.env.now())).unwrap_or_default()
        });
        me
    }

    /// Leads whenever the agreement says so, and clears the desk when it no longer does.
    pub async fn run(self: Rc<Self>) -> Result<(), std::convert::Infallible> {
        loop {
            self.agree.bell.until(|| self.agree.leads().then_some(())).await;
            let (term, _) = self.agree.term();
            self.take_over(term);
            self.relay.hurry.ring();
            let me = self.clone();
            let probes = self.env.spawn(async move { me.probes().await });
            let me = self.clone();
            let tends = self.env.spawn(async move { me.tends().await });
            let me = self.clone();
            let watch = self.env.spawn(async move { me.watch().await });
            let me = self.clone();
            let roll = self.env.spawn(async move { me.roll().await });
            let me = self.clone();
            let muster = self.env.spawn(async move { me.muster().await });
            self.agree.bell.until(|| (self.agree.image().is_none() || self.agree.term().0 != term).then_some(())).await;
            drop((probes, tends, watch, roll, muster));
            self.standings.borrow_mut().clear();
            self.seen.borrow_mut().clear();
        }
    }

    fn take_over(&self, term: u64) {
        self.term.set(term);
        self.count.set(0);
        let lapse = self.env.now() + self.bounds.lapse();
        *self.ledger.borrow_mut() = match self.agree.inherited_leases() {
            Some(i) => Ledger::heir(lapse, i.at, &i.leases),
            None => Ledger::new(lapse),
        };
        self.standings.borrow_mut().clear();
        self.seats.borrow_mut().clear();
        self.seen.borrow_mut().clear();
        self.rolls.borrow_mut().clear();
        self.phases.borrow_mut().clear();
        self.refused.borrow_mut().clear();
        self.talks.borrow_mut().clear();
        // What was told to the hub before is in the news that came by; the rest is told again soon.
        let now = self.env.now();
        let mut servers = self.servers.borrow_mut();
        servers.clear();
        if let Some(n) = self.relay.latest() {
            servers.extend(n.servers.iter().map(|s| (s.name.clone(), Told::from_news(s, now))));
            self.seats.borrow_mut().extend(n.nodes.iter().map(|n| (n.name.clone(), Seat::from_news(n, now))));
        }
        // After all processes were down nobody tells it again for a while.
        if let Some(image) = self.agree.image() {
            for s in &image.spots {
                let group = image.root(&s.server).map_or("", |g| &g.name);
                servers.entry(s.server.clone()).or_insert_with(|| Told::from_spot(s, group, now));
            }
        }
        drop(servers);
        self.publish();
    }

    /// The newest mark; every change of news raises it before it is acted on.
    fn mark(&self) -> Mark {
        Mark { term: self.term.get(), count: self.count.get() }
    }

    /// Sends news of the present state down the tree.
    pub fn publish(&self) {
        let Some(image) = self.agree.image() else { return };
        if !self.agree.leads() {
            return;
        }
        self.count.set(self.count.get() + 1);
        let news = News {
            mark: Some(self.mark()),
            image: Some((*image).clone()),
            servers: self.servers.borrow().iter().map(|(n, t)| t.news(n)).collect(),
            nodes: self.fellows(),
        };
        self.told_nodes.borrow_mut().clone_from(&news.nodes);
        self.relay.publish(news);
        self.bell.ring();
    }

    /// The nodes that news tells of, for others to hang on: those nearest to the root.
    fn fellows(&self) -> Vec<wire::Node> {
        let seats = self.seats.borrow();
        let mut all: Vec<&wire::Node> = seats.values().map(|s| &s.node).collect();
        if all.len() > FELLOWS {
            all.sort_by_key(|n| (n.depth, &n.name));
            all.truncate(FELLOWS);
        }
        all.into_iter().cloned().collect()
    }

    /// Takes a server's own report.
    pub fn report(&self, r: &Report) {
        let now = self.env.now();
        let moved = {
            let mut all = self.servers.borrow_mut();
            if r.turn > 0 && all.get(&r.server).is_some_and(|o| o.turn >= r.turn) {
                // A late one: what came after it is known already.
                return;
            }
            let told = Told::from_report(r, now);
            let old = all.insert(r.server.clone(), told);
            old.is_none_or(|o| !o.same(&all[&r.server]))
        };
        if moved {
            self.publish();
        }
    }

    /// Takes a server's word that it ends.
    pub fn left(&self, server: &str) {
        if let Some(t) = self.servers.borrow_mut().get_mut(server) {
            t.left = true;
            t.gone = true;
            t.heard = self.env.now();
        }
        self.publish();
    }

    /// The other address at which a server of this name still answers this hub's readings.
    pub fn heard_elsewhere(&self, r: &Report) -> Option<String> {
        let now = self.env.now();
        let at = self.servers.borrow().get(&r.server)?.addr.clone();
        let seen = self.seen.borrow().get(&r.server).is_some_and(|s| now.saturating_sub(s.at) < self.bounds.gone());
        (at != r.addr && seen).then_some(at)
    }

    /// Whether any group of the image has this server.
    pub fn known(&self, server: &str) -> bool {
        self.agree.image().is_some_and(|i| i.root(server).is_some())
    }

    /// The areas that servers and nodes tell of.
    pub fn areas(&self) -> Vec<String> {
        let mut out: Vec<String> = self.servers.borrow().values().map(|t| t.area.clone()).collect();
        out.extend(self.seats.borrow().values().map(|s| s.node.area.clone()));
        out.sort();
        out.dedup();
        out
    }

    /// Takes a node's beat and gives its grants.
    pub fn beaten(&self, beat: Beat) -> Option<BeatReturn> {
        if !self.agree.leads() || self.term.get() != self.agree.term().0 {
            return None;
        }
        if !self.agree.agrees(&beat.name, beat.rule) {
            return None;
        }
        let image = self.agree.image()?;
        let now = self.env.now();
        {
            let mut seats = self.seats.borrow_mut();
            seats.insert(beat.name.clone(), Seat::from_beat(&beat, now));
            if beat.leaving {
                seats.remove(&beat.name);
            }
        }
        self.ledger.borrow_mut().told(&beat, now);
        if beat.hub {
            self.agree.met(&beat.peer);
        }
        if beat.hub || beat.leaving {
            return Some(self.ret(&beat, Vec::new(), Vec::new()));
        }
        self.retold(&beat, &image);
        for s in beat.sights.iter().filter(|s| s.back > 0) {
            self.back_told(&image, &s.server, s.back);
        }
        let leads = self.grant_leads(&beat, &image, now);
        let shares = self.grant_shares(&beat, &image, now);
        Some(self.ret(&beat, leads, shares))
    }

    fn ret(&self, beat: &Beat, leads: Vec<wire::Lead>, shares: Vec<wire::Share>) -> BeatReturn {
        BeatReturn {
            name: beat.name.clone(),
            boot: beat.boot,
            nonce: beat.nonce,
            mark: Some(self.mark()),
            leads,
            shares,
        }
    }

    fn grant_leads(&self, beat: &Beat, image: &Image, now: Duration) -> Vec<wire::Lead> {
        let standings = self.standings.borrow();
        let mut out = Vec::new();
        for (group, st) in standings.iter().filter(|(_, s)| s.granting) {
            let server = match image.groups.iter().find(|g| g.name == *group) {
                Some(g) if g.confirms => st.server.clone(),
                _ => match image.elect(group) {
                    Some(e) if e.line == st.line => e.server.clone(),
                    _ => continue,
                },
            };
            self.ledger.borrow_mut().lead_given(group, &beat.name, beat.nonce, now + self.bounds.lapse());
            out.push(wire::Lead {
                group: group.clone(),
                server,
                line: st.line,
                span: self.bounds.grant().as_millis() as u64,
            });
        }
        out
    }

    fn grant_shares(&self, beat: &Beat, image: &Image, now: Duration) -> Vec<wire::Share> {
        let mut out = Vec::new();
        let mut ledger = self.ledger.borrow_mut();
        let until = now + self.bounds.lapse();
        for g in &image.groups {
            for s in &g.servers {
                let cold = self.servers.borrow().get(s).map_or(0.0, |t| t.cold);
                let cold = if self.tricks.no_ramp { 0.0 } else { cold };
                let cap = ledger::cap(g.cap, cold);
                let count = match self.tricks.no_ledger {
                    true => cap,
                    false => ledger.share(s, (&beat.name, beat.nonce), cap, now, until, g.confirms),
                };
                out.push(wire::Share { server: s.clone(), count, span: self.bounds.grant().as_millis() as u64 });
            }
        }
        out
    }

    /// Watches for servers and nodes that fall silent.
    async fn watch(&self) {
        loop {
            self.env.sleep(self.bounds.pulse()).await;
            let now = self.env.now();
            let gone = self.bounds.gone();
            let mut moved = false;
            for (name, t) in self.servers.borrow_mut().iter_mut() {
                let probed = self.seen.borrow().get(name).map_or(Duration::ZERO, |s| s.at);
                let probed = probed.max(self.talks.borrow().get(name).and_then(|t| t.alive).unwrap_or_default());
                let quiet = now.saturating_sub(t.heard.max(probed)) > gone;
                moved |= t.gone != (quiet || t.left);
                t.gone = quiet || t.left;
            }
            self.seats.borrow_mut().retain(|_, s| now.saturating_sub(s.heard) < gone * 2);
            // Nodes that come and go together are told of together.
            moved |= *self.told_nodes.borrow() != self.fellows();
            if moved {
                self.publish();
            }
        }
    }

    fn log(&self, part: Part, text: impl AsRef<str>) {
        self.env.log(part, text);
    }
}
