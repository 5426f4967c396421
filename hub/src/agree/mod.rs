//! Agreement of the three hubs on one image: terms, votes, pulses, and what lies on a majority of disks.

mod answer;
mod campaign;
mod desk;
mod peer;

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use base::{
    Bounds, Kind,
    bell::Bell,
    seam::{Env, Part},
};
use futures::channel::{mpsc, oneshot};
use wire::{Body, Hello, Image, Out, OutLead, Vote, relay::Who};

use crate::store::Kept;

/// What a hub does in its term.
#[derive(Debug, PartialEq)]
enum Role {
    Following,
    Asking { trial: bool, nonce: u64, since: Duration, wait: Duration, got: Vec<String>, named: bool },
    Leading,
}

/// What is known of another hub.
#[derive(Default)]
struct Peer {
    out: Option<Out>,
    born: u64,
    blank: bool,
    rescued: bool,
    /// Where it is dialled.
    addr: String,
    /// Since when no link to it stands.
    lost: Option<Duration>,
    at: (u64, u64),
    /// When the newest pulse that it acknowledged was sent.
    acked: Option<Duration>,
    pulses: std::collections::VecDeque<(u64, Duration)>,
}

struct State {
    kept: Kept,
    blank: bool,
    role: Role,
    hold: Duration,
    leader: String,
    peers: BTreeMap<String, Peer>,
    /// The newest count of this term that lies on a majority of disks.
    committed: u64,
    public: Option<Rc<Image>>,
    /// Changes under way: count, image, who waits.
    pending: Vec<(u64, Rc<Image>, Done)>,
    nonce: u64,
    led_since: Duration,
    leaving: bool,
}

/// Lists the leader grants that may still stand.
type GrantsOut = Box<dyn Fn() -> Vec<OutLead>>;
type Done = oneshot::Sender<Result<Rc<Image>, Kind>>;
type Make = Box<dyn FnOnce(&Image) -> Result<Image, Kind>>;

/// What the desk is asked to do, in turn.
pub enum Job {
    Frame { from: String, body: Box<Body>, out: Option<Out> },
    Propose { make: Make, done: Done },
    Tick,
    Leave { done: oneshot::Sender<()> },
}

/// Test switches that take a guard away; all off in the programs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Loose {
    /// A blank hub votes as if it remembered.
    pub blank_votes: bool,
    /// A hub leads on until it hears of a newer term, whether or not a majority was heard lately.
    pub no_lease: bool,
    /// Processes that count by other bounds are dealt with.
    pub any_rule: bool,
}

/// A hub's part in the agreement.
pub struct Agree {
    env: Env,
    who: Who,
    bounds: Bounds,
    state: RefCell<State>,
    inbox: mpsc::UnboundedSender<Job>,
    /// Rung when leadership, commitment or confirmation moved.
    pub bell: Bell,
    /// Tells which leader grants of this hub may still stand.
    pub estate: RefCell<Option<GrantsOut>>,
    /// What the holder who named this hub its successor left: its term, when that was told, the grants.
    heir: RefCell<Option<(u64, Duration, Vec<OutLead>)>>,
    loose: Loose,
    /// How many control nodes are to agree.
    size: usize,
    /// Addresses of control nodes that came by.
    guests: RefCell<BTreeSet<std::net::SocketAddr>>,
    /// Processes that were told of as counting by other bounds.
    odd: RefCell<BTreeSet<String>>,
}

impl Agree {
    /// A hub with what its disk remembers; a blank one gets a new incarnation.
    pub fn new(env: &Env, who: Who, bounds: Bounds, size: usize, kept: Kept, loose: Loose) -> (Rc<Self>, desk::Inbox) {
        let blank = kept.image.is_none() || kept.rescued;
        let mut kept = kept;
        if blank {
            kept.born = env.rand() | 1;
        }
        let (inbox, rest) = mpsc::unbounded();
        let state = State {
            kept,
            blank,
            role: Role::Following,
            hold: env.now() + bounds.hold(),
            leader: String::new(),
            peers: BTreeMap::new(),
            committed: 0,
            public: None,
            pending: Vec::new(),
            nonce: 0,
            led_since: Duration::ZERO,
            leaving: false,
        };
        let me = Self {
            env: env.clone(),
            who,
            bounds,
            state: RefCell::new(state),
            inbox,
            bell: Bell::default(),
            estate: RefCell::default(),
            heir: RefCell::default(),
            loose,
            size,
            guests: RefCell::default(),
            odd: RefCell::default(),
        };
        (Rc::new(me), rest)
    }

    /// Whether this hub leads for sure: its term is committed and a majority was heard lately.
    pub fn leads(&self) -> bool {
        let s = self.state.borrow();
        s.role == Role::Leading
            && s.public.is_some()
            && s.committed > 0
            && (self.loose.no_lease
                || s.heard(&self.who.name, &self.env).is_some_and(|t| self.env.now() < t + self.bounds.lead()))
    }

    /// The term, and when this hub began to lead it.
    pub fn term(&self) -> (u64, Duration) {
        let s = self.state.borrow();
        (s.kept.term, s.led_since)
    }

    /// The newest image known to lie on a majority of disks; only while leading.
    pub fn image(&self) -> Option<Rc<Image>> {
        let s = self.state.borrow();
        if s.role == Role::Leading { s.public.clone() } else { None }
    }

    /// Who leads, as far as this hub knows.
    pub fn leader(&self) -> String {
        let s = self.state.borrow();
        if s.role == Role::Leading { self.who.name.clone() } else { s.leader.clone() }
    }

    /// What the holder of the term before left to this hub, where it named it its successor and nobody led between.
    pub fn heir(&self) -> Option<(Duration, Vec<OutLead>)> {
        let term = self.term().0;
        let heir = self.heir.borrow();
        heir.as_ref().filter(|h| h.0 + 1 == term).map(|h| (h.1, h.2.clone()))
    }

    /// Whether the disk remembers nothing, and its incarnation.
    pub fn blank(&self) -> (bool, u64) {
        let s = self.state.borrow();
        (s.blank, s.kept.born)
    }

    /// Says what the other side of a link should know of this hub.
    pub fn hello(&self, hello: &mut Hello) {
        let s = self.state.borrow();
        hello.born = s.kept.born;
        hello.blank = s.blank;
        hello.rescued = s.blank && s.kept.rescued;
    }

    /// Takes a frame from another hub.
    pub fn frame(&self, from: &str, body: Body, out: Option<Out>) {
        let _ = self.inbox.unbounded_send(Job::Frame { from: from.into(), body: Box::new(body), out });
    }

    /// Proposes a change of the image; `Unknown` when its fate can't be told.
    pub async fn propose(&self, make: impl FnOnce(&Image) -> Result<Image, Kind> + 'static) -> Result<Rc<Image>, Kind> {
        let (done, wait) = oneshot::channel();
        let _ = self.inbox.unbounded_send(Job::Propose { make: Box::new(make), done });
        wait.await.unwrap_or(Err(Kind::Unknown))
    }

    /// Waits until a majority has confirmed, after this call, that this hub still leads.
    pub async fn confirm(&self) -> Result<Rc<Image>, Kind> {
        let asked = self.env.now();
        let _ = self.inbox.unbounded_send(Job::Tick);
        let wait = self.bell.until(|| {
            if !self.leads() {
                return Some(Err(Kind::Unconfirmed));
            }
            let s = self.state.borrow();
            let heard = s.heard(&self.who.name, &self.env)?;
            (heard >= asked).then(|| s.public.clone().ok_or(Kind::Unconfirmed))
        });
        self.env.within(self.bounds.call(), wait).await.unwrap_or(Err(Kind::Unconfirmed))
    }

    /// Hands leadership to a named successor, if there is one, before the process ends.
    pub async fn leave(&self) {
        let (done, wait) = oneshot::channel();
        let _ = self.inbox.unbounded_send(Job::Leave { done });
        let _ = self.env.within(self.bounds.call(), wait).await;
    }

    /// Whether another process counts by the same bounds; leases and holds rest on that.
    pub fn agrees(&self, name: &str, rule: u64) -> bool {
        let odd = rule != 0 && rule != self.bounds.sum() && !self.loose.any_rule;
        if odd && self.odd.borrow_mut().insert(name.into()) {
            self.log(format!("{name} counts by other bounds; it is not dealt with"));
        }
        if !odd {
            self.odd.borrow_mut().remove(name);
        }
        !odd
    }

    fn log(&self, text: impl AsRef<str>) {
        self.env.log(Part::Agree, text);
    }
}

impl State {
    fn at(&self) -> (u64, u64) {
        (self.kept.at_term, self.kept.at_count)
    }

    /// Whether a hub's memory counts: the image knows its disk's incarnation.
    fn counts(&self, name: &str, born: u64) -> bool {
        self.kept.image.as_ref().is_some_and(|i| i.homes.iter().any(|h| h.name == name && h.born == born))
    }

    /// How many hubs, this one among them, satisfy a test and count.
    fn majority(&self, me: &str, test: impl Fn(&Peer) -> bool) -> bool {
        let own = usize::from(!self.blank && self.counts(me, self.kept.born));
        let more = self.peers.iter().filter(|(n, p)| !p.blank && self.counts(n, p.born) && test(p)).count();
        own + more >= self.need()
    }

    /// How many of the control nodes whose memory counts make a majority.
    fn need(&self) -> usize {
        self.kept.image.as_ref().map_or(3, |i| i.homes.len()) / 2 + 1
    }

    /// The latest time since which a majority is known to have held to this hub.
    fn heard(&self, me: &str, env: &Env) -> Option<Duration> {
        let own = if self.counts(me, self.kept.born) { Some(env.now()) } else { None };
        let mut all: Vec<Duration> = self
            .peers
            .iter()
            .filter(|(n, p)| !p.blank && self.counts(n, p.born))
            .filter_map(|(_, p)| p.acked)
            .chain(own)
            .collect();
        all.sort();
        all.len().checked_sub(self.need()).map(|i| all[i])
    }

    /// A vote this hub would send out now.
    fn vote(&self, nonce: u64, trial: bool, named: bool) -> Vote {
        Vote {
            term: self.kept.term + u64::from(trial),
            at_term: self.kept.at_term,
            at_count: self.kept.at_count,
            born: self.kept.born,
            named,
            trial,
            nonce,
        }
    }
}
