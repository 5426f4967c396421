//! The dissemination tree: node heartbeats and requests are forwarded up to the leader; heartbeat acknowledgements,
//! responses and state snapshots go down. The leader, a control node, is the root.

mod forwarding;
mod join;
mod recent_deltas;
mod search;
mod serve;
mod snapshots;

pub use forwarding::DisabledGuards;
use forwarding::HeartbeatArrivals;

use std::{
    cell::{Cell, OnceCell, RefCell},
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use base::{
    Bounds,
    loop_lag::LoopLag,
    notify::Notify,
    runtime::{Component, Env, Listener},
    supervisor::Supervisor,
};
use futures::channel::oneshot;

use crate::{
    Body, EncodedFrame, ForwardedRequest, ForwardedResponse, Hello, LinkWriter, NodeHeartbeat, NodeHeartbeatAck,
    ParentStatus, Snapshot, SnapshotVersion,
};

pub use search::SearchCounters;
pub use snapshots::SnapshotCounters;

/// The number of children from which a node reports itself as full.
const MAX_CHILDREN: usize = 4;
/// The same for a control node. It is higher because each child of a control node saves a copy of the snapshots on the
/// links between nodes.
const MAX_CHILDREN_OF_CONTROL_NODE: usize = 16;
/// How many heartbeats of one node may await their acknowledgement; older ones are forgotten.
const MAX_HEARTBEATS_IN_FLIGHT: usize = 64;

/// The role of a process in the tree, and what it does with the messages that reach it.
pub trait RelayHandler {
    /// Whether this process is certain to be the leader at this moment.
    fn is_leader(&self) -> bool;
    /// Adds the process's own fields to its next heartbeat.
    fn fill_heartbeat(&self, heartbeat: &mut NodeHeartbeat);
    /// Called for the acknowledgement of this process's own heartbeat, which was sent at `sent`.
    fn on_ack(&self, ack: NodeHeartbeatAck, sent: Duration);
    /// Called when a newer snapshot has arrived or was published.
    fn on_snapshot(&self, snapshot: &Rc<Snapshot>);
    /// On the leader: handles a node's heartbeat and returns the acknowledgement, if there is one to send.
    fn handle_heartbeat(&self, heartbeat: NodeHeartbeat) -> Option<NodeHeartbeatAck>;
    /// On the leader: handles a forwarded request and calls `done` with the response.
    fn handle_request(&self, request: ForwardedRequest, done: Box<dyn FnOnce(ForwardedResponse)>);
    /// Called for any other frame, such as those of the consensus between control nodes.
    fn on_other_frame(&self, from: &Hello, body: Body, writer: &LinkWriter);
    /// Called when another process has opened a link to this one.
    fn on_peer_connected(&self, _from: &Hello) {}
    /// Addresses of control nodes beyond those in the settings.
    fn control_nodes(&self) -> Vec<SocketAddr> {
        Vec::new()
    }
    /// Fills in the fields that only control nodes send.
    fn fill_hello(&self, _hello: &mut Hello) {}
}

struct Child {
    name: String,
    writer: LinkWriter,
    /// Whether it accepts snapshots as deltas.
    accepts_deltas: bool,
    /// The snapshot that it holds once it has read all that was sent; `None` until its own first heartbeat.
    sent_snapshot: Option<snapshots::SentSnapshot>,
}

struct Parent {
    name: String,
    writer: LinkWriter,
    status: ParentStatus,
}

/// How a process identifies itself to its peers.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    pub name: String,
    pub zone: String,
    pub is_control_node: bool,
    /// The address at which it accepts links.
    pub peer: SocketAddr,
    /// The address of its HTTP endpoint.
    pub http: SocketAddr,
    /// The control nodes' addresses from the settings.
    pub seeds: Vec<SocketAddr>,
    /// A random number of this run of the process.
    pub boot_id: u64,
}

/// A process's place in the dissemination tree: its links to its parent and children, and what it has received.
pub struct Relay {
    pub env: Env,
    pub identity: NodeIdentity,
    bounds: RefCell<Bounds>,
    weak_self: RefCell<std::rc::Weak<Relay>>,
    handler: RefCell<Option<Rc<dyn RelayHandler>>>,
    loop_lag: OnceCell<Rc<LoopLag>>,
    /// By the id of the child's link.
    children: RefCell<BTreeMap<u64, Child>>,
    /// By link id: links of processes that may be searching for a parent and have sent no heartbeat yet.
    probing_links: RefCell<BTreeMap<u64, LinkWriter>>,
    /// By descendant: the link id of the child through which it is reached, and when it last sent something.
    routes: RefCell<BTreeMap<String, (u64, Duration)>>,
    parent: RefCell<Option<Parent>>,
    snapshot: RefCell<Option<Rc<Snapshot>>>,
    /// The deltas that led to the newest snapshot.
    recent_deltas: RefCell<recent_deltas::RecentDeltas>,
    /// The frame with the full newest snapshot, once it was sent.
    full_frame: RefCell<Option<(SnapshotVersion, Rc<EncodedFrame>)>>,
    /// When the full snapshot was last requested from the parent; `None` once it has arrived.
    snapshot_requested_at: Cell<Option<Duration>>,
    pub snapshot_counters: SnapshotCounters,
    pub search_counters: SearchCounters,
    /// By nonce: the requests of this process that await a response.
    pending_requests: RefCell<BTreeMap<u64, oneshot::Sender<ForwardedResponse>>>,
    /// On the leader, by node: when acknowledged heartbeats arrived.
    arrived_heartbeats: RefCell<BTreeMap<String, HeartbeatArrivals>>,
    /// Checks that a test has switched off.
    pub disabled_guards: DisabledGuards,
    /// Nonces of heartbeats and when they were sent.
    sent_heartbeats: RefCell<VecDeque<(u64, Duration)>>,
    /// The nonce of the newest heartbeat that was acknowledged.
    last_ack_nonce: Cell<u64>,
    /// When the newest acknowledged heartbeat was sent.
    last_acked_sent_at: Cell<Option<Duration>>,
    /// The last link id or nonce handed out.
    last_id: Cell<u64>,
    /// The newest [`ParentStatus::round`], which the leader raises to request a heartbeat from every node.
    newest_round: Cell<u64>,
    /// Notified to send the next heartbeat at once.
    pub urgent_heartbeat: Notify,
    /// Links that were closed because of a corrupt frame.
    pub corrupt_frames: Cell<u64>,
    /// Frames that were forwarded for other processes.
    pub forwarded_frames: Cell<u64>,
}

impl Relay {
    /// Creates a relay that is not yet in the tree.
    pub fn new(env: &Env, identity: NodeIdentity, bounds: Bounds) -> Rc<Self> {
        let relay = Rc::new(Self {
            weak_self: RefCell::default(),
            env: env.clone(),
            identity,
            bounds: RefCell::new(bounds),
            handler: RefCell::default(),
            loop_lag: OnceCell::new(),
            children: RefCell::default(),
            probing_links: RefCell::default(),
            routes: RefCell::default(),
            parent: RefCell::default(),
            snapshot: RefCell::default(),
            recent_deltas: RefCell::default(),
            full_frame: RefCell::default(),
            snapshot_requested_at: Cell::default(),
            snapshot_counters: SnapshotCounters::default(),
            search_counters: SearchCounters::default(),
            pending_requests: RefCell::default(),
            arrived_heartbeats: RefCell::default(),
            disabled_guards: DisabledGuards::default(),
            sent_heartbeats: RefCell::default(),
            last_ack_nonce: Cell::default(),
            last_acked_sent_at: Cell::default(),
            last_id: Cell::default(),
            newest_round: Cell::default(),
            urgent_heartbeat: Notify::default(),
            corrupt_frames: Cell::default(),
            forwarded_frames: Cell::default(),
        });
        *relay.weak_self.borrow_mut() = Rc::downgrade(&relay);
        relay
    }

    /// Sets the measurement of how late this process's tasks run.
    pub fn set_loop_lag(&self, loop_lag: Rc<LoopLag>) {
        let _ = self.loop_lag.set(loop_lag);
    }

    /// For how long this process could have noticed that something arrived after `start`.
    fn watched_since(&self, start: Duration) -> Duration {
        match self.loop_lag.get() {
            Some(loop_lag) => loop_lag.responsive_since(start),
            None => self.env.now().saturating_sub(start),
        }
    }

    /// Sets the handler of incoming messages. Must be called once, before the relay runs.
    pub fn set_handler(&self, handler: Rc<dyn RelayHandler>) {
        *self.handler.borrow_mut() = Some(handler);
    }

    fn handler(&self) -> Rc<dyn RelayHandler> {
        self.handler.borrow().clone().expect("the relay's handler is set before it runs")
    }

    fn bounds(&self) -> Bounds {
        self.bounds.borrow().clone()
    }

    /// A number for a new link, heartbeat or request, unique within this run of the process.
    fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    /// How long a parent may bring no acknowledgement before it is replaced: a third of the `blueprint` bound.
    fn stale_timeout(&self) -> Duration {
        Duration::from_millis(self.bounds.borrow().blueprint) / 3
    }

    /// How long a descendant may be silent before it is forgotten.
    fn descendant_timeout(&self) -> Duration {
        self.stale_timeout() * 4
    }

    /// Whether this process is the leader or has recently received an acknowledgement from it through its parent.
    pub fn reaches_leader(&self) -> bool {
        let is_fresh = self.last_acked_sent_at.get().is_some_and(|at| self.env.now() - at < self.stale_timeout());
        self.handler().is_leader() || (is_fresh && self.parent.borrow().is_some())
    }

    /// The parent's name and this process's depth in the tree; an empty name and 0 without a parent.
    pub fn tree_position(&self) -> (String, u32) {
        match &*self.parent.borrow() {
            Some(parent) => (parent.name.clone(), parent.status.depth + 1),
            None => (String::new(), 0),
        }
    }

    /// The names of the children.
    pub fn children(&self) -> Vec<String> {
        self.children.borrow().values().map(|c| c.name.clone()).collect()
    }

    /// Whether nodes that search for a parent should prefer another one.
    fn is_full(&self) -> bool {
        let max = if self.identity.is_control_node { MAX_CHILDREN_OF_CONTROL_NODE } else { MAX_CHILDREN };
        self.children.borrow().len() >= max
    }

    /// The status that this process sends as a parent.
    fn status(&self) -> ParentStatus {
        let mut status = ParentStatus {
            reaches_leader: self.reaches_leader(),
            round: self.newest_round.get(),
            full: self.is_full(),
            ..ParentStatus::default()
        };
        if !self.handler().is_leader()
            && let Some(parent) = &*self.parent.borrow()
        {
            status.depth = parent.status.depth + 1;
            status.path = parent.status.path.clone();
        }
        status.path.push(self.identity.name.clone());
        status
    }

    fn hello(&self) -> Hello {
        let mut hello = Hello {
            name: self.identity.name.clone(),
            zone: self.identity.zone.clone(),
            is_control_node: self.identity.is_control_node,
            peer: self.identity.peer.to_string(),
            boot_id: self.identity.boot_id,
            bounds_digest: self.bounds.borrow().digest(),
            accepts_deltas: true,
            accepts_pieces: true,
            ..Hello::default()
        };
        self.handler().fill_hello(&mut hello);
        hello
    }

    /// Sends a heartbeat or request towards the leader; handles it here if this process is the leader.
    fn send_up(&self, body: Body) {
        if self.handler().is_leader() {
            match body {
                Body::NodeHeartbeat(heartbeat) => {
                    if let Some(ack) = self.handler().handle_heartbeat(heartbeat) {
                        self.record_arrival(&ack);
                        self.send_down(Body::NodeHeartbeatAck(ack));
                    }
                }
                Body::ForwardedRequest(request) if !self.is_in_time(&request) => {
                    self.send_down(Body::ForwardedResponse(forwarding::timed_out_response(request)))
                }
                Body::ForwardedRequest(request) => {
                    let relay = self.shared_self();
                    self.handler().handle_request(
                        request,
                        Box::new(move |response| {
                            if let Some(relay) = relay {
                                relay.send_down(Body::ForwardedResponse(response));
                            }
                        }),
                    );
                }
                _ => {}
            }
        } else if let Some(parent) = &*self.parent.borrow() {
            self.forwarded_frames.set(self.forwarded_frames.get() + 1);
            parent.writer.send(body);
        }
    }

    /// Sends an acknowledgement or response towards its origin; handles it here if this process is the origin. It is
    /// dropped if there is no path to the origin.
    fn send_down(&self, body: Body) {
        let origin = match &body {
            Body::NodeHeartbeatAck(ack) => &ack.name,
            Body::ForwardedResponse(response) => &response.origin,
            _ => return,
        };
        if *origin != self.identity.name {
            let route = self.routes.borrow().get(origin).copied();
            if let Some(writer) = route.and_then(|(id, _)| self.children.borrow().get(&id).map(|c| c.writer.clone())) {
                self.forwarded_frames.set(self.forwarded_frames.get() + 1);
                writer.send(body);
            }
            return;
        }
        match body {
            Body::NodeHeartbeatAck(ack) if ack.boot_id == self.identity.boot_id => {
                let sent = self.sent_heartbeats.borrow().iter().find(|(n, _)| *n == ack.nonce).map(|(_, at)| *at);
                let Some(sent) = sent else { return };
                if ack.nonce <= self.last_ack_nonce.get() {
                    return;
                }
                self.last_ack_nonce.set(ack.nonce);
                let was_cut_off = !self.reaches_leader();
                self.last_acked_sent_at.set(Some(self.last_acked_sent_at.get().map_or(sent, |at| at.max(sent))));
                self.handler().on_ack(ack, sent);
                if was_cut_off {
                    self.broadcast_status();
                }
            }
            Body::ForwardedResponse(response) => self.on_response(response),
            _ => {}
        }
    }

    fn send_heartbeat(&self, leaving: bool) {
        let Some(writer) = self.parent.borrow().as_ref().map(|p| p.writer.clone()) else { return };
        let nonce = self.next_id();
        let (parent, depth) = self.tree_position();
        let mut heartbeat = NodeHeartbeat {
            name: self.identity.name.clone(),
            boot_id: self.identity.boot_id,
            nonce,
            zone: self.identity.zone.clone(),
            peer: self.identity.peer.to_string(),
            http: self.identity.http.to_string(),
            snapshot_version: Some(self.snapshot_version()),
            last_ack_nonce: self.last_ack_nonce.get(),
            is_control_node: self.identity.is_control_node,
            bounds_digest: self.bounds.borrow().digest(),
            leaving,
            depth,
            parent,
            ..NodeHeartbeat::default()
        };
        self.handler().fill_heartbeat(&mut heartbeat);
        {
            let mut sent = self.sent_heartbeats.borrow_mut();
            sent.push_back((nonce, self.env.now()));
            if sent.len() > MAX_HEARTBEATS_IN_FLIGHT {
                sent.pop_front();
            }
        }
        writer.send(Body::NodeHeartbeat(heartbeat));
    }

    /// On the leader: requests a heartbeat from every node at once.
    pub fn request_heartbeats(&self) {
        self.newest_round.set(self.newest_round.get().max(self.env.now().as_micros() as u64) + 1);
        self.broadcast_status();
    }

    /// Sends a heartbeat at once for a round that was not seen before; the status sent with it starts the round below.
    fn on_round(&self, round: u64) {
        if round > self.newest_round.get() {
            self.newest_round.set(round);
            self.urgent_heartbeat.notify_waiters();
        }
    }

    /// Sends this process's status to its children and to processes that search for a parent.
    fn broadcast_status(&self) {
        let status = self.status();
        for child in self.children.borrow().values() {
            child.writer.send(Body::ParentStatus(status.clone()));
        }
        for writer in self.probing_links.borrow().values() {
            writer.send(Body::ParentStatus(status.clone()));
        }
    }

    /// Runs this relay's tasks under a supervisor.
    pub fn supervise(self: &Rc<Self>, supervisor: &mut Supervisor, listener: Rc<dyn Listener>) {
        let relay = self.clone();
        supervisor.child("serve", move || relay.clone().serve(listener.clone()));
        let relay = self.clone();
        supervisor.child("join", move || relay.clone().maintain_parent());
        let relay = self.clone();
        supervisor.child("beats", move || relay.clone().send_heartbeats());
    }

    /// Sends heartbeats and the status, periodically and whenever `urgent_heartbeat` is notified.
    async fn send_heartbeats(self: Rc<Self>) -> Result<(), std::convert::Infallible> {
        loop {
            let seen = self.urgent_heartbeat.generation();
            if !self.handler().is_leader() {
                self.send_heartbeat(false);
            }
            self.expire_routes();
            self.broadcast_status();
            let _ = self.env.timeout(self.bounds().node_heartbeat(), self.urgent_heartbeat.changed_since(seen)).await;
        }
    }

    /// Forgets descendants that have been silent for too long.
    fn expire_routes(&self) {
        let (now, timeout) = (self.env.now(), self.descendant_timeout());
        self.routes.borrow_mut().retain(|_, (_, last_seen)| now < *last_seen + timeout);
    }

    /// The number of descendants that are reached through children.
    pub fn route_count(&self) -> usize {
        self.routes.borrow().len()
    }

    /// Announces to the leader that this process is shutting down and gives back its leases and shares.
    pub fn leave(&self) {
        self.send_heartbeat(true);
    }

    fn log(&self, text: impl AsRef<str>) {
        self.env.log(Component::Relay, text);
    }
}
