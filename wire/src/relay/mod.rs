//! The tree of relays: beats and asks go up to the leading hub, returns and news come down.

mod ask;
mod join;
mod news;
mod search;
mod serve;

use ask::Arrivals;
pub use ask::Guards;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use base::{
    Bounds,
    bell::Bell,
    seam::{Env, Listener, Part},
    tree::Tree,
};
use futures::channel::oneshot;

use crate::{Ask, AskReturn, Beat, BeatReturn, Body, Hello, NewsDelta, Out, Root, Snapshot};

pub use news::NewsCounts;
pub use search::SearchCounts;

/// How many children a node takes before it calls itself full.
const MOST_CHILDREN: usize = 4;
/// The same for a control node: the more hang on these, the fewer copies of the news go over the nodes' own links.
const MOST_CHILDREN_OF_CONTROL_NODE: usize = 16;
/// How many beats may be under way.
const NONCES: usize = 64;

/// What a node is in the tree and what it does with what reaches it.
pub trait Head {
    /// Whether this node is the leading hub, now and for sure.
    fn rooted(&self) -> bool;
    /// Adds what this node has to say to its next beat.
    fn beat(&self, beat: &mut Beat);
    /// A return to this node's own beat, which was sent at `sent`.
    fn returned(&self, ret: BeatReturn, sent: Duration);
    /// Newer news than before.
    fn news(&self, news: &Rc<Snapshot>);
    /// At the leading hub: a beat; gives the return.
    fn beaten(&self, beat: Beat) -> Option<BeatReturn>;
    /// At the leading hub: an outer request.
    fn asked(&self, ask: Ask, done: Box<dyn FnOnce(AskReturn)>);
    /// A frame that is neither; hubs agree by such.
    fn other(&self, from: &Hello, body: Body, out: &Out);
    /// Another process opened a link.
    fn met(&self, _from: &Hello) {}
    /// Where this node knows of control nodes beside those that its settings name.
    fn control_nodes(&self) -> Vec<SocketAddr> {
        Vec::new()
    }
    /// Fills in what only a hub says of itself.
    fn hello(&self, _hello: &mut Hello) {}
}

struct Child {
    name: String,
    out: Out,
    /// Whether it takes news as deltas.
    deltas: bool,
    /// The newest news it holds once it has read all that was sent; unknown until its own first beat.
    news: Option<news::Sent>,
}

struct Parent {
    name: String,
    out: Out,
    root: Root,
}

/// Who a node is to its peers.
#[derive(Clone, Debug)]
pub struct Who {
    pub name: String,
    pub area: String,
    pub hub: bool,
    pub peer: SocketAddr,
    pub http: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub boot: u64,
}

/// A node's place in the tree.
pub struct Relay {
    pub env: Env,
    pub who: Who,
    bounds: RefCell<Bounds>,
    own: RefCell<std::rc::Weak<Relay>>,
    head: RefCell<Option<Rc<dyn Head>>>,
    children: RefCell<BTreeMap<u64, Child>>,
    /// Links of nodes that look for a parent.
    lookers: RefCell<BTreeMap<u64, Out>>,
    /// Through which child each node below is reached, and when that was last heard.
    routes: RefCell<BTreeMap<String, (u64, Duration)>>,
    parent: RefCell<Option<Parent>>,
    news: RefCell<Option<Rc<Snapshot>>>,
    /// What led to the newest news from the one before.
    newest_delta: RefCell<Option<Rc<NewsDelta>>>,
    /// When the parent was last asked for the whole news.
    news_requested: Cell<Option<Duration>>,
    pub news_counts: NewsCounts,
    pub search_counts: SearchCounts,
    asks: RefCell<BTreeMap<u64, oneshot::Sender<AskReturn>>>,
    /// At the leading hub: when beats came that were returned.
    arrivals: RefCell<BTreeMap<String, Arrivals>>,
    /// Test switches.
    pub guards: Guards,
    sent: RefCell<VecDeque<(u64, Duration)>>,
    heard: Cell<u64>,
    heard_at: Cell<Option<Duration>>,
    count: Cell<u64>,
    wave: Cell<u64>,
    /// Rung to send the next beat at once.
    pub hurry: Bell,
    /// How many links ended on a corrupt frame.
    pub corrupt: Cell<u64>,
    /// How many frames were handed on for others.
    pub handed: Cell<u64>,
}

impl Relay {
    /// A node that is not yet in the tree.
    pub fn new(env: &Env, who: Who, bounds: Bounds) -> Rc<Self> {
        let me = Rc::new(Self {
            own: RefCell::default(),
            env: env.clone(),
            who,
            bounds: RefCell::new(bounds),
            head: RefCell::default(),
            children: RefCell::default(),
            lookers: RefCell::default(),
            routes: RefCell::default(),
            parent: RefCell::default(),
            news: RefCell::default(),
            newest_delta: RefCell::default(),
            news_requested: Cell::default(),
            news_counts: NewsCounts::default(),
            search_counts: SearchCounts::default(),
            asks: RefCell::default(),
            arrivals: RefCell::default(),
            guards: Guards::default(),
            sent: RefCell::default(),
            heard: Cell::default(),
            heard_at: Cell::default(),
            count: Cell::default(),
            wave: Cell::default(),
            hurry: Bell::default(),
            corrupt: Cell::default(),
            handed: Cell::default(),
        });
        *me.own.borrow_mut() = Rc::downgrade(&me);
        me
    }

    /// Sets what the node does with what reaches it; once, before it runs.
    pub fn lead(&self, head: Rc<dyn Head>) {
        *self.head.borrow_mut() = Some(head);
    }

    fn head(&self) -> Rc<dyn Head> {
        self.head.borrow().clone().expect("the head is set before the relay runs")
    }

    fn bounds(&self) -> Bounds {
        self.bounds.borrow().clone()
    }

    fn next(&self) -> u64 {
        self.count.set(self.count.get() + 1);
        self.count.get()
    }

    /// How long a parent may bring no return before it is left: a third of the blueprint bound.
    fn stale(&self) -> Duration {
        Duration::from_millis(self.bounds.borrow().blueprint) / 3
    }

    /// How long a node below may be silent before it is forgotten.
    fn quiet(&self) -> Duration {
        self.stale() * 4
    }

    /// Whether the leading hub was heard through the parent lately.
    pub fn fed(&self) -> bool {
        let fresh = self.heard_at.get().is_some_and(|t| self.env.now() - t < self.stale());
        self.head().rooted() || (fresh && self.parent.borrow().is_some())
    }

    /// The parent's name, and how deep this node sits.
    pub fn place(&self) -> (String, u32) {
        match &*self.parent.borrow() {
            Some(p) => (p.name.clone(), p.root.depth + 1),
            None => (String::new(), 0),
        }
    }

    /// The names of the children.
    pub fn children(&self) -> Vec<String> {
        self.children.borrow().values().map(|c| c.name.clone()).collect()
    }

    /// Whether nodes that look for a parent had better find another.
    fn full(&self) -> bool {
        let most = if self.who.hub { MOST_CHILDREN_OF_CONTROL_NODE } else { MOST_CHILDREN };
        self.children.borrow().len() >= most
    }

    fn root(&self) -> Root {
        let mut root = Root { fed: self.fed(), wave: self.wave.get(), full: self.full(), ..Root::default() };
        if !self.head().rooted()
            && let Some(p) = &*self.parent.borrow()
        {
            root.depth = p.root.depth + 1;
            root.path = p.root.path.clone();
        }
        root.path.push(self.who.name.clone());
        root
    }

    fn hello(&self) -> Hello {
        let mut hello = Hello {
            name: self.who.name.clone(),
            area: self.who.area.clone(),
            hub: self.who.hub,
            peer: self.who.peer.to_string(),
            boot: self.who.boot,
            rule: self.bounds.borrow().sum(),
            deltas: true,
            pieces: true,
            ..Hello::default()
        };
        self.head().hello(&mut hello);
        hello
    }

    fn up(&self, body: Body) {
        if self.head().rooted() {
            match body {
                Body::Beat(b) => {
                    if let Some(ret) = self.head().beaten(b) {
                        self.arrived(&ret);
                        self.down(Body::BeatReturn(ret));
                    }
                }
                Body::Ask(a) if !self.timely(&a) => self.down(Body::AskReturn(ask::too_late(a))),
                Body::Ask(a) => {
                    let routes = self.me();
                    self.head().asked(
                        a,
                        Box::new(move |ret| {
                            if let Some(me) = routes {
                                me.down(Body::AskReturn(ret));
                            }
                        }),
                    );
                }
                _ => {}
            }
        } else if let Some(p) = &*self.parent.borrow() {
            self.handed.set(self.handed.get() + 1);
            p.out.send(body);
        }
    }

    fn down(&self, body: Body) {
        let to = match &body {
            Body::BeatReturn(r) => &r.name,
            Body::AskReturn(r) => &r.origin,
            _ => return,
        };
        if *to != self.who.name {
            let route = self.routes.borrow().get(to).copied();
            if let Some(c) = route.and_then(|(id, _)| self.children.borrow().get(&id).map(|c| c.out.clone())) {
                self.handed.set(self.handed.get() + 1);
                c.send(body);
            }
            return;
        }
        match body {
            Body::BeatReturn(r) if r.boot == self.who.boot => {
                let sent = self.sent.borrow().iter().find(|(n, _)| *n == r.nonce).map(|(_, t)| *t);
                let Some(sent) = sent else { return };
                if r.nonce <= self.heard.get() {
                    return;
                }
                self.heard.set(r.nonce);
                let hungry = !self.fed();
                self.heard_at.set(Some(self.heard_at.get().map_or(sent, |t| t.max(sent))));
                self.head().returned(r, sent);
                if hungry {
                    self.tell_root();
                }
            }
            Body::AskReturn(r) => self.answered(r),
            _ => {}
        }
    }

    fn send_beat(&self, leaving: bool) {
        let Some(out) = self.parent.borrow().as_ref().map(|p| p.out.clone()) else { return };
        let nonce = self.next();
        let (parent, depth) = self.place();
        let mut beat = Beat {
            name: self.who.name.clone(),
            boot: self.who.boot,
            nonce,
            area: self.who.area.clone(),
            peer: self.who.peer.to_string(),
            http: self.who.http.to_string(),
            seen: Some(self.mark()),
            heard: self.heard.get(),
            hub: self.who.hub,
            rule: self.bounds.borrow().sum(),
            leaving,
            depth,
            parent,
            ..Beat::default()
        };
        self.head().beat(&mut beat);
        {
            let mut sent = self.sent.borrow_mut();
            sent.push_back((nonce, self.env.now()));
            if sent.len() > NONCES {
                sent.pop_front();
            }
        }
        out.send(Body::Beat(beat));
    }

    /// At the leading hub: asks every node for a beat at once.
    pub fn call(&self) {
        self.wave.set(self.wave.get().max(self.env.now().as_micros() as u64) + 1);
        self.tell_root();
    }

    /// Hands a call on; a wave that was seen is not followed again.
    fn called(&self, wave: u64) {
        if wave > self.wave.get() {
            self.wave.set(wave);
            self.hurry.ring();
        }
    }

    /// Tells children and those who look whether this node is fed.
    fn tell_root(&self) {
        let root = self.root();
        for c in self.children.borrow().values() {
            c.out.send(Body::Root(root.clone()));
        }
        for out in self.lookers.borrow().values() {
            out.send(Body::Root(root.clone()));
        }
    }

    /// Puts this node's tasks under a supervisor.
    pub fn tend(self: &Rc<Self>, tree: &mut Tree, sock: Rc<dyn Listener>) {
        let me = self.clone();
        tree.child("serve", move || me.clone().serve(sock.clone()));
        let me = self.clone();
        tree.child("join", move || me.clone().join());
        let me = self.clone();
        tree.child("beats", move || me.clone().beats());
    }

    /// Beats for as long as the process runs.
    async fn beats(self: Rc<Self>) -> Result<(), std::convert::Infallible> {
        loop {
            let seen = self.hurry.count();
            if !self.head().rooted() {
                self.send_beat(false);
            }
            self.forget_routes();
            self.tell_root();
            let _ = self.env.within(self.bounds().beat(), self.hurry.after(seen)).await;
        }
    }

    /// Forgets nodes below that are silent for as long as a child may be.
    fn forget_routes(&self) {
        let (now, quiet) = (self.env.now(), self.quiet());
        self.routes.borrow_mut().retain(|_, (_, heard)| now < *heard + quiet);
    }

    /// How many nodes are reached through children.
    pub fn routes(&self) -> usize {
        self.routes.borrow().len()
    }

    /// Tells the leading hub that this node hands everything back.
    pub fn leave(&self) {
        self.send_beat(true);
    }

    fn log(&self, text: impl AsRef<str>) {
        self.env.log(Part::Relay, text);
    }
}
