//! The tree of relays: beats and asks go up to the leading hub, returns and news come down.

mod forwarding;
mod join;
mod search;
mod serve;
mod snapshots;

use forwarding::Arrivals;
pub use forwarding::Guards;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use base::{
    Bounds,
    notify::Notify,
    runtime::{Component, Env, Listener},
    supervisor::Supervisor,
};
use futures::channel::oneshot;

use crate::{
    Body, ForwardedRequest, ForwardedResponse, Hello, LinkWriter, NodeHeartbeat, NodeHeartbeatAck, ParentStatus,
    Snapshot, SnapshotDelta,
};

pub use search::SearchCounters;
pub use snapshots::SnapshotCounters;

/// How many children a node takes before it calls itself full.
const MOST_CHILDREN: usize = 4;
/// The same for a control node: the more hang on these, the fewer copies of the news go over the nodes' own links.
const MOST_CHILDREN_OF_CONTROL_NODE: usize = 16;
/// How many beats may be under way.
const NONCES: usize = 64;

/// What a node is in the tree and what it does with what reaches it.
pub trait RelayHandler {
    /// Whether this node is the leading hub, now and for sure.
    fn is_leader(&self) -> bool;
    /// Adds what this node has to say to its next beat.
    fn fill_heartbeat(&self, beat: &mut NodeHeartbeat);
    /// A return to this node's own beat, which was sent at `sent`.
    fn on_ack(&self, ret: NodeHeartbeatAck, sent: Duration);
    /// Newer news than before.
    fn on_snapshot(&self, news: &Rc<Snapshot>);
    /// At the leading hub: a beat; gives the return.
    fn handle_heartbeat(&self, beat: NodeHeartbeat) -> Option<NodeHeartbeatAck>;
    /// At the leading hub: an outer request.
    fn handle_request(&self, ask: ForwardedRequest, done: Box<dyn FnOnce(ForwardedResponse)>);
    /// A frame that is neither; hubs agree by such.
    fn on_other_frame(&self, from: &Hello, body: Body, out: &LinkWriter);
    /// Another process opened a link.
    fn on_peer_connected(&self, _from: &Hello) {}
    /// Where this node knows of control nodes beside those that its settings name.
    fn control_nodes(&self) -> Vec<SocketAddr> {
        Vec::new()
    }
    /// Fills in what only a hub says of itself.
    fn fill_hello(&self, _hello: &mut Hello) {}
}

struct Child {
    name: String,
    out: LinkWriter,
    /// Whether it takes news as deltas.
    deltas: bool,
    /// The newest news it holds once it has read all that was sent; unknown until its own first beat.
    news: Option<snapshots::Sent>,
}

struct Parent {
    name: String,
    out: LinkWriter,
    root: ParentStatus,
}

/// Who a node is to its peers.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    pub name: String,
    pub zone: String,
    pub is_control_node: bool,
    pub peer: SocketAddr,
    pub http: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub boot_id: u64,
}

/// A node's place in the tree.
pub struct Relay {
    pub env: Env,
    pub identity: NodeIdentity,
    bounds: RefCell<Bounds>,
    own: RefCell<std::rc::Weak<Relay>>,
    head: RefCell<Option<Rc<dyn RelayHandler>>>,
    children: RefCell<BTreeMap<u64, Child>>,
    /// Links of nodes that look for a parent.
    lookers: RefCell<BTreeMap<u64, LinkWriter>>,
    /// Through which child each node below is reached, and when that was last heard.
    routes: RefCell<BTreeMap<String, (u64, Duration)>>,
    parent: RefCell<Option<Parent>>,
    news: RefCell<Option<Rc<Snapshot>>>,
    /// What led to the newest news from the one before.
    newest_delta: RefCell<Option<Rc<SnapshotDelta>>>,
    /// When the parent was last asked for the whole news.
    news_requested: Cell<Option<Duration>>,
    pub snapshot_counters: SnapshotCounters,
    pub search_counters: SearchCounters,
    asks: RefCell<BTreeMap<u64, oneshot::Sender<ForwardedResponse>>>,
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
    pub urgent_heartbeat: Notify,
    /// How many links ended on a corrupt frame.
    pub corrupt_frames: Cell<u64>,
    /// How many frames were handed on for others.
    pub forwarded_frames: Cell<u64>,
}

impl Relay {
    /// A node that is not yet in the tree.
    pub fn new(env: &Env, who: NodeIdentity, bounds: Bounds) -> Rc<Self> {
        let me = Rc::new(Self {
            own: RefCell::default(),
            env: env.clone(),
            identity: who,
            bounds: RefCell::new(bounds),
            head: RefCell::default(),
            children: RefCell::default(),
            lookers: RefCell::default(),
            routes: RefCell::default(),
            parent: RefCell::default(),
            news: RefCell::default(),
            newest_delta: RefCell::default(),
            news_requested: Cell::default(),
            snapshot_counters: SnapshotCounters::default(),
            search_counters: SearchCounters::default(),
            asks: RefCell::default(),
            arrivals: RefCell::default(),
            guards: Guards::default(),
            sent: RefCell::default(),
            heard: Cell::default(),
            heard_at: Cell::default(),
            count: Cell::default(),
            wave: Cell::default(),
            urgent_heartbeat: Notify::default(),
            corrupt_frames: Cell::default(),
            forwarded_frames: Cell::default(),
        });
        *me.own.borrow_mut() = Rc::downgrade(&me);
        me
    }

    /// Sets what the node does with what reaches it; once, before it runs.
    pub fn set_handler(&self, head: Rc<dyn RelayHandler>) {
        *self.head.borrow_mut() = Some(head);
    }

    fn head(&self) -> Rc<dyn RelayHandler> {
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
    pub fn reaches_leader(&self) -> bool {
        let fresh = self.heard_at.get().is_some_and(|t| self.env.now() - t < self.stale());
        self.head().is_leader() || (fresh && self.parent.borrow().is_some())
    }

    /// The parent's name, and how deep this node sits.
    pub fn tree_position(&self) -> (String, u32) {
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
        let most = if self.identity.is_control_node { MOST_CHILDREN_OF_CONTROL_NODE } else { MOST_CHILDREN };
        self.children.borrow().len() >= most
    }

    fn root(&self) -> ParentStatus {
        let mut root = ParentStatus {
            reaches_leader: self.reaches_leader(),
            round: self.wave.get(),
            full: self.full(),
            ..ParentStatus::default()
        };
        if !self.head().is_leader()
            && let Some(p) = &*self.parent.borrow()
        {
            root.depth = p.root.depth + 1;
            root.path = p.root.path.clone();
        }
        root.path.push(self.identity.name.clone());
        root
    }

    fn hello(&self) -> Hello {
        let mut hello = Hello {
            name: self.identity.name.clone(),
            zone: self.identity.zone.clone(),
            hub: self.identity.is_control_node,
            peer: self.identity.peer.to_string(),
            boot_id: self.identity.boot_id,
            bounds_digest: self.bounds.borrow().digest(),
            deltas: true,
            pieces: true,
            ..Hello::default()
        };
        self.head().fill_hello(&mut hello);
        hello
    }

    fn up(&self, body: Body) {
        if self.head().is_leader() {
            match body {
                Body::NodeHeartbeat(b) => {
                    if let Some(ret) = self.head().handle_heartbeat(b) {
                        self.arrived(&ret);
                        self.down(Body::NodeHeartbeatAck(ret));
                    }
                }
                Body::ForwardedRequest(a) if !self.timely(&a) => {
                    self.down(Body::ForwardedResponse(forwarding::too_late(a)))
                }
                Body::ForwardedRequest(a) => {
                    let routes = self.me();
                    self.head().handle_request(
                        a,
                        Box::new(move |ret| {
                            if let Some(me) = routes {
                                me.down(Body::ForwardedResponse(ret));
                            }
                        }),
                    );
                }
                _ => {}
            }
        } else if let Some(p) = &*self.parent.borrow() {
            self.forwarded_frames.set(self.forwarded_frames.get() + 1);
            p.out.send(body);
        }
    }

    fn down(&self, body: Body) {
        let to = match &body {
            Body::NodeHeartbeatAck(r) => &r.name,
            Body::ForwardedResponse(r) => &r.origin,
            _ => return,
        };
        if *to != self.identity.name {
            let route = self.routes.borrow().get(to).copied();
            if let Some(c) = route.and_then(|(id, _)| self.children.borrow().get(&id).map(|c| c.out.clone())) {
                self.forwarded_frames.set(self.forwarded_frames.get() + 1);
                c.send(body);
            }
            return;
        }
        match body {
            Body::NodeHeartbeatAck(r) if r.boot_id == self.identity.boot_id => {
                let sent = self.sent.borrow().iter().find(|(n, _)| *n == r.nonce).map(|(_, t)| *t);
                let Some(sent) = sent else { return };
                if r.nonce <= self.heard.get() {
                    return;
                }
                self.heard.set(r.nonce);
                let hungry = !self.reaches_leader();
                self.heard_at.set(Some(self.heard_at.get().map_or(sent, |t| t.max(sent))));
                self.head().on_ack(r, sent);
                if hungry {
                    self.tell_root();
                }
            }
            Body::ForwardedResponse(r) => self.answered(r),
            _ => {}
        }
    }

    fn send_beat(&self, leaving: bool) {
        let Some(out) = self.parent.borrow().as_ref().map(|p| p.out.clone()) else { return };
        let nonce = self.next();
        let (parent, depth) = self.tree_position();
        let mut beat = NodeHeartbeat {
            name: self.identity.name.clone(),
            boot_id: self.identity.boot_id,
            nonce,
            zone: self.identity.zone.clone(),
            peer: self.identity.peer.to_string(),
            http: self.identity.http.to_string(),
            snapshot_version: Some(self.mark()),
            last_ack_nonce: self.heard.get(),
            hub: self.identity.is_control_node,
            bounds_digest: self.bounds.borrow().digest(),
            leaving,
            depth,
            parent,
            ..NodeHeartbeat::default()
        };
        self.head().fill_heartbeat(&mut beat);
        {
            let mut sent = self.sent.borrow_mut();
            sent.push_back((nonce, self.env.now()));
            if sent.len() > NONCES {
                sent.pop_front();
            }
        }
        out.send(Body::NodeHeartbeat(beat));
    }

    /// At the leading hub: asks every node for a beat at once.
    pub fn request_heartbeats(&self) {
        self.wave.set(self.wave.get().max(self.env.now().as_micros() as u64) + 1);
        self.tell_root();
    }

    /// Hands a call on; a wave that was seen is not followed again.
    fn called(&self, wave: u64) {
        if wave > self.wave.get() {
            self.wave.set(wave);
            self.urgent_heartbeat.notify_waiters();
        }
    }

    /// Tells children and those who look whether this node is fed.
    fn tell_root(&self) {
        let root = self.root();
        for c in self.children.borrow().values() {
            c.out.send(Body::ParentStatus(root.clone()));
        }
        for out in self.lookers.borrow().values() {
            out.send(Body::ParentStatus(root.clone()));
        }
    }

    /// Puts this node's tasks under a supervisor.
    pub fn supervise(self: &Rc<Self>, tree: &mut Supervisor, sock: Rc<dyn Listener>) {
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
            let seen = self.urgent_heartbeat.generation();
            if !self.head().is_leader() {
                self.send_beat(false);
            }
            self.forget_routes();
            self.tell_root();
            let _ = self.env.timeout(self.bounds().node_heartbeat(), self.urgent_heartbeat.changed_since(seen)).await;
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
        self.env.log(Component::Relay, text);
    }
}
