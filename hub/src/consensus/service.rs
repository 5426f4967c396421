//! The task that runs the consensus core: it syncs states, sends messages and resolves pending requests.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use base::{
    Bounds, ErrorKind,
    notify::Notify,
    runtime::{Component, Env},
};
use futures::{
    StreamExt,
    channel::{mpsc, oneshot},
};
use wire::{Body, EncodedFrame, Hello, Image, LinkWriter, OutstandingLease};

use super::{
    Change, Clock, Core, DisabledConsensusGuards, Effect, Identity, InheritedLeases, Input, Message, Outcome,
    RequestId, Timing,
};
use crate::store::{DurableState, Store};

/// Ticks per heartbeat interval on a node that does not lead, so that it notices the end of its hold time early.
const TICKS_PER_HEARTBEAT: u32 = 8;

/// Lists the leases on groups' primaries that may still be valid.
type LeaseReporter = Box<dyn Fn() -> Vec<OutstandingLease>>;

/// An input for the core, with the link over which to send a reply.
pub struct QueuedInput {
    input: Input,
    reply: Option<LinkWriter>,
}

/// Receiver of the inputs that wait for the core.
pub type InputQueue = mpsc::UnboundedReceiver<QueuedInput>;

/// The consensus service of one control node.
pub struct Consensus {
    pub(super) env: Env,
    pub(super) identity: Identity,
    pub(super) bounds: Bounds,
    /// A random number that identifies this run of the process.
    pub(super) boot_id: u64,
    pub(super) core: RefCell<Core>,
    pub(super) queue: mpsc::UnboundedSender<QueuedInput>,
    /// Notified when leadership, the committed image or the contact to a quorum may have changed.
    pub state_changed: Notify,
    /// Open outgoing links, by the name of the other control node.
    pub(super) links: RefCell<BTreeMap<String, LinkWriter>>,
    /// Addresses of control nodes that connected to this node or were reported in heartbeats, with the time when they
    /// were last seen.
    pub(super) discovered: RefCell<BTreeMap<SocketAddr, Duration>>,
    /// Addresses with an open outgoing link.
    pub(super) connected: RefCell<BTreeSet<SocketAddr>>,
    pending_requests: RefCell<BTreeMap<RequestId, oneshot::Sender<Outcome>>>,
    last_request_id: Cell<RequestId>,
    tick_queued: Cell<bool>,
    lease_reporter: RefCell<Option<LeaseReporter>>,
    guards: DisabledConsensusGuards,
    /// Names of processes whose different bounds were logged already.
    logged_bounds_mismatches: RefCell<BTreeSet<String>>,
}

impl Consensus {
    /// Creates the service from the state on disk, and the queue for [`Consensus::run`]. `target_members` is the number
    /// of members to reach and keep.
    pub fn new(
        env: &Env,
        identity: Identity,
        boot_id: u64,
        bounds: Bounds,
        target_members: usize,
        durable: DurableState,
        guards: DisabledConsensusGuards,
    ) -> (Rc<Self>, InputQueue) {
        let timing = Timing::from_bounds(&bounds);
        let core = Core::new(identity.clone(), timing, target_members, durable, guards, env.now());
        let (queue, inputs) = mpsc::unbounded();
        let service = Self {
            env: env.clone(),
            identity,
            bounds,
            boot_id,
            core: RefCell::new(core),
            queue,
            state_changed: Notify::default(),
            links: RefCell::default(),
            discovered: RefCell::default(),
            connected: RefCell::default(),
            pending_requests: RefCell::default(),
            last_request_id: Cell::default(),
            tick_queued: Cell::default(),
            lease_reporter: RefCell::default(),
            guards,
            logged_bounds_mismatches: RefCell::default(),
        };
        (Rc::new(service), inputs)
    }

    /// Processes the queued inputs in order; the only task that changes the state on disk.
    pub async fn run(self: Rc<Self>, mut inputs: InputQueue, mut store: Store) {
        while let Some(QueuedInput { input, reply }) = inputs.next().await {
            if matches!(input, Input::Tick) {
                self.tick_queued.set(false);
            }
            let mut save = self.step(|core, clock| core.handle(clock, input));
            while let Some(state) = save {
                let synced = store.save_or_abort(&state).await;
                save = self.step(|core, clock| core.saved(clock, synced));
            }
            let effects = self.core.borrow_mut().take_effects();
            for effect in effects {
                self.execute(effect, reply.as_ref());
            }
        }
    }

    fn step<T>(&self, call: impl FnOnce(&mut Core, Clock) -> T) -> T {
        let clock = Clock { now: self.env.now(), random: self.env.rand() };
        call(&mut self.core.borrow_mut(), clock)
    }

    fn execute(&self, effect: Effect, reply: Option<&LinkWriter>) {
        match effect {
            Effect::Send { to, message } => self.send_to(&to, message),
            Effect::Reply(message) => {
                if let Some(link) = reply {
                    link.send(message.into_body());
                }
            }
            Effect::Resolve { request_id, outcome } => {
                if let Some(sender) = self.pending_requests.borrow_mut().remove(&request_id) {
                    let _ = sender.send(outcome);
                }
            }
            Effect::Changed => self.state_changed.notify_waiters(),
            Effect::Log(text) => self.log(text),
        }
    }

    /// Sends a message to these control nodes. It is encoded once for all of them.
    fn send_to(&self, to: &[String], mut message: Message) {
        if let Message::Heartbeat(heartbeat) = &mut message
            && heartbeat.transfer
        {
            heartbeat.leases = self.lease_reporter.borrow().as_ref().map(|report| report()).unwrap_or_default();
        }
        let Some(frame) = EncodedFrame::new(message.into_body()) else { return };
        let links = self.links.borrow();
        for link in to.iter().filter_map(|name| links.get(name)) {
            link.send_encoded(&frame);
        }
    }

    pub(super) fn queue(&self, input: Input, reply: Option<LinkWriter>) {
        let _ = self.queue.unbounded_send(QueuedInput { input, reply });
    }

    /// Queues a tick for the core periodically. At most one tick is queued, so that they don't pile up while the disk
    /// hangs.
    pub async fn run_ticker(self: Rc<Self>) {
        loop {
            if !self.tick_queued.replace(true) {
                self.queue(Input::Tick, None);
            }
            let leading = self.core.borrow().is_leader();
            self.env.sleep(self.bounds.control_heartbeat() / if leading { 1 } else { TICKS_PER_HEARTBEAT }).await;
        }
    }

    /// Queues a frame from another control node, if it is part of the consensus.
    pub fn on_frame(&self, from: &str, body: Body, reply: Option<LinkWriter>) {
        if let Some(message) = Message::from_body(body) {
            self.queue(Input::Message { from: from.into(), message }, reply);
        }
    }

    async fn request(&self, input: impl FnOnce(RequestId) -> Input) -> Outcome {
        let request_id = self.last_request_id.get() + 1;
        self.last_request_id.set(request_id);
        let (sender, outcome) = oneshot::channel();
        self.pending_requests.borrow_mut().insert(request_id, sender);
        self.queue(input(request_id), None);
        outcome.await.unwrap_or(Outcome::Unknown)
    }

    /// Proposes a change of the image and waits until it is committed. An error of `make` is returned only once the
    /// image that it was given is committed and a quorum has confirmed this leader after the call. Other errors:
    /// `Unconfirmed` if nothing was changed, `OutcomeUnknown` if the change may still be committed, `DiskFull`.
    pub async fn propose(
        &self,
        make: impl FnOnce(&Image) -> Result<Image, ErrorKind> + 'static,
    ) -> Result<Rc<Image>, ErrorKind> {
        let refusal: Rc<Cell<Option<ErrorKind>>> = Rc::default();
        let refusal_slot = refusal.clone();
        let change: Change = Box::new(move |image| make(image).map_err(|kind| refusal_slot.set(Some(kind))).ok());
        match self.request(|request_id| Input::Propose { request_id, change }).await {
            Outcome::Committed(image) => Ok(image),
            Outcome::Confirmed(_) => Err(refusal.take().unwrap_or(ErrorKind::OutcomeUnknown)),
            Outcome::Unknown => Err(ErrorKind::OutcomeUnknown),
            Outcome::Unavailable => Err(ErrorKind::Unconfirmed),
            Outcome::DiskFull => Err(ErrorKind::DiskFull),
        }
    }

    /// Returns the newest committed image, once a quorum has confirmed after this call that this node still leads;
    /// `Unconfirmed` if that does not happen within the call timeout.
    pub async fn confirm(&self) -> Result<Rc<Image>, ErrorKind> {
        let outcome = self.request(|request_id| Input::Read { request_id });
        match self.env.timeout(self.bounds.call_timeout(), outcome).await {
            Ok(Outcome::Confirmed(image) | Outcome::Committed(image)) => Ok(image),
            _ => Err(ErrorKind::Unconfirmed),
        }
    }

    /// Transfers leadership and, if another control node can take it, the membership, before the process ends. Waits
    /// for at most two call timeouts.
    pub async fn leave(&self) {
        self.queue(Input::Leave, None);
        let can_end = self.state_changed.wait_until(|| self.core.borrow().can_shut_down().then_some(()));
        let _ = self.env.timeout(self.bounds.call_timeout() * 2, can_end).await;
    }

    /// Whether this node is the leader with a valid lease: an image of its term is committed, and a quorum acknowledged
    /// a heartbeat that was sent within the leader lease.
    pub fn leads_with_lease(&self) -> bool {
        self.core.borrow().leads_with_lease(self.env.now())
    }

    /// The term of this node, and the time since which it leads (if it leads).
    pub fn term(&self) -> (u64, Duration) {
        self.core.borrow().term()
    }

    /// Whether a former leader that this node followed is connected and acknowledges this leader's heartbeats.
    pub fn former_leader_follows(&self) -> bool {
        self.core.borrow().former_leader_follows()
    }

    /// The newest image known to be on a quorum of disks; `None` unless this node leads.
    pub fn image(&self) -> Option<Rc<Image>> {
        self.core.borrow().committed_image()
    }

    /// Name of the leader known to this node; empty if none is known.
    pub fn leader(&self) -> String {
        self.core.borrow().leader().into()
    }

    /// The outstanding leases that the leader of the previous term reported to this node with a leadership transfer;
    /// `None` if there was no transfer or another term came between.
    pub fn inherited_leases(&self) -> Option<InheritedLeases> {
        self.core.borrow().inherited_leases().cloned()
    }

    /// Sets the function that lists the outstanding leases on groups' primaries; they are sent to the successor.
    pub fn set_lease_reporter(&self, report: impl Fn() -> Vec<OutstandingLease> + 'static) {
        *self.lease_reporter.borrow_mut() = Some(Box::new(report));
    }

    /// Whether the disk holds no valid image; a rescued image is not valid before the system has formed from it.
    pub fn has_no_image(&self) -> bool {
        self.core.borrow().durable().has_no_image()
    }

    /// Fills in the fields of a `Hello` that describe this control node's disk.
    pub fn fill_hello(&self, hello: &mut Hello) {
        let core = self.core.borrow();
        let state = core.durable();
        hello.incarnation = state.incarnation;
        hello.has_no_image = state.has_no_image();
        hello.rescued = state.rescued;
        hello.may_form = state.may_form();
    }

    /// Whether another process uses the same bounds, which leases and hold times depend on; a digest of 0 (not sent) is
    /// accepted. A difference is logged once per process.
    pub fn has_same_bounds(&self, name: &str, bounds_digest: u64) -> bool {
        let is_different = bounds_digest != 0 && bounds_digest != self.bounds.digest() && !self.guards.any_bounds;
        if is_different && self.logged_bounds_mismatches.borrow_mut().insert(name.into()) {
            self.log(format!("{name} uses different bounds; ignoring its messages"));
        }
        if !is_different {
            self.logged_bounds_mismatches.borrow_mut().remove(name);
        }
        !is_different
    }

    fn log(&self, text: impl AsRef<str>) {
        self.env.log(Component::Consensus, text);
    }
}
