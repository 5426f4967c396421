//! The task that obeys the consensus core: it syncs, sends and tells those who wait.

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
use wire::{Body, Hello, Image, LinkWriter, OutstandingLease};

use super::{Change, Clock, Core, Effect, Guards, Identity, InheritedLeases, Input, Message, Outcome, Ticket, Timing};
use crate::store::{DurableState, Store};

/// How many ticks a node that does not lead takes in one heartbeat, so that it notices the end of a hold early.
const TICKS_PER_HEARTBEAT: u32 = 8;

/// Lists the leases on groups' primaries that may still stand.
type LeaseReporter = Box<dyn Fn() -> Vec<OutstandingLease>>;

/// One input with the link that a reply goes out on.
pub struct Job {
    input: Input,
    reply: Option<LinkWriter>,
}

/// What waits for the core.
pub type Queue = mpsc::UnboundedReceiver<Job>;

/// A control node's part in the consensus.
pub struct Consensus {
    pub(super) env: Env,
    pub(super) identity: Identity,
    pub(super) bounds: Bounds,
    /// A random number of this run of the process.
    pub(super) boot: u64,
    pub(super) core: RefCell<Core>,
    pub(super) queue: mpsc::UnboundedSender<Job>,
    /// Rung when leadership, commitment or contact moved.
    pub bell: Notify,
    /// Links that this node dialled, by the name of the other side.
    pub(super) links: RefCell<BTreeMap<String, LinkWriter>>,
    /// Control nodes that dialled this node or told of themselves, and when they last did or were connected.
    pub(super) guests: RefCell<BTreeMap<SocketAddr, Duration>>,
    /// Addresses to which a link stands.
    pub(super) connected: RefCell<BTreeSet<SocketAddr>>,
    waiting: RefCell<BTreeMap<Ticket, oneshot::Sender<Outcome>>>,
    tickets: Cell<Ticket>,
    tick_queued: Cell<bool>,
    lease_reporter: RefCell<Option<LeaseReporter>>,
    guards: Guards,
    /// Processes that were told of in the log as counting by other bounds.
    other_bounds: RefCell<BTreeSet<String>>,
}

impl Consensus {
    /// A control node with what its disk holds; `target_members` are to agree.
    pub fn new(
        env: &Env,
        identity: Identity,
        boot: u64,
        bounds: Bounds,
        target_members: usize,
        durable: DurableState,
        guards: Guards,
    ) -> (Rc<Self>, Queue) {
        let timing = Timing::from_bounds(&bounds);
        let core = Core::new(identity.clone(), timing, target_members, durable, guards, env.now());
        let (queue, jobs) = mpsc::unbounded();
        let me = Self {
            env: env.clone(),
            identity,
            bounds,
            boot,
            core: RefCell::new(core),
            queue,
            bell: Notify::default(),
            links: RefCell::default(),
            guests: RefCell::default(),
            connected: RefCell::default(),
            waiting: RefCell::default(),
            tickets: Cell::default(),
            tick_queued: Cell::default(),
            lease_reporter: RefCell::default(),
            guards,
            other_bounds: RefCell::default(),
        };
        (Rc::new(me), jobs)
    }

    /// Takes inputs in turn; the only task that changes what this node remembers.
    pub async fn run(self: Rc<Self>, mut jobs: Queue, mut store: Store) {
        while let Some(Job { input, reply }) = jobs.next().await {
            if matches!(input, Input::Tick) {
                self.tick_queued.set(false);
            }
            let mut save = self.step(|core, clock| core.handle(clock, input));
            while let Some(state) = save {
                let synced = store.keep(&state).await;
                save = self.step(|core, clock| core.saved(clock, synced));
            }
            let effects = self.core.borrow_mut().take_effects();
            for effect in effects {
                self.obey(effect, reply.as_ref());
            }
        }
    }

    fn step<T>(&self, act: impl FnOnce(&mut Core, Clock) -> T) -> T {
        let clock = Clock { now: self.env.now(), random: self.env.rand() };
        act(&mut self.core.borrow_mut(), clock)
    }

    fn obey(&self, effect: Effect, reply: Option<&LinkWriter>) {
        match effect {
            Effect::Send { to, message } => self.send(&to, message),
            Effect::Reply(message) => {
                if let Some(out) = reply {
                    out.send(message.into_body());
                }
            }
            Effect::Resolve { ticket, outcome } => {
                if let Some(done) = self.waiting.borrow_mut().remove(&ticket) {
                    let _ = done.send(outcome);
                }
            }
            Effect::Changed => self.bell.notify_waiters(),
            Effect::Log(text) => self.log(text),
        }
    }

    fn send(&self, to: &str, mut message: Message) {
        if let Message::Heartbeat(heartbeat) = &mut message
            && heartbeat.transfer
        {
            heartbeat.leases = self.lease_reporter.borrow().as_ref().map(|report| report()).unwrap_or_default();
        }
        if let Some(out) = self.links.borrow().get(to) {
            out.send(message.into_body());
        }
    }

    pub(super) fn queue(&self, input: Input, reply: Option<LinkWriter>) {
        let _ = self.queue.unbounded_send(Job { input, reply });
    }

    /// Tells the core that time goes on. One tick waits at most, so that a disk that hangs leaves no heap of them.
    pub async fn ticks(self: Rc<Self>) {
        loop {
            if !self.tick_queued.replace(true) {
                self.queue(Input::Tick, None);
            }
            let leading = self.core.borrow().is_leader();
            self.env.sleep(self.bounds.control_heartbeat() / if leading { 1 } else { TICKS_PER_HEARTBEAT }).await;
        }
    }

    /// Takes a frame from another control node.
    pub fn frame(&self, from: &str, body: Body, reply: Option<LinkWriter>) {
        if let Some(message) = Message::from_body(body) {
            self.queue(Input::Message { from: from.into(), message }, reply);
        }
    }

    async fn ask(&self, input: impl FnOnce(Ticket) -> Input) -> Outcome {
        let ticket = self.tickets.get() + 1;
        self.tickets.set(ticket);
        let (done, wait) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, done);
        self.queue(input(ticket), None);
        wait.await.unwrap_or(Outcome::Unknown)
    }

    /// Proposes a change of the image. An error that `make` gives is returned only once the image that it saw is
    /// committed and a quorum confirmed this leader after the call; `Unconfirmed` and `Unknown` come where that failed.
    pub async fn propose(
        &self,
        make: impl FnOnce(&Image) -> Result<Image, ErrorKind> + 'static,
    ) -> Result<Rc<Image>, ErrorKind> {
        let refused: Rc<Cell<Option<ErrorKind>>> = Rc::default();
        let note = refused.clone();
        let change: Change = Box::new(move |image| make(image).map_err(|kind| note.set(Some(kind))).ok());
        match self.ask(|ticket| Input::Propose { ticket, change }).await {
            Outcome::Committed(image) => Ok(image),
            Outcome::Confirmed(_) => Err(refused.take().unwrap_or(ErrorKind::OutcomeUnknown)),
            Outcome::Unknown => Err(ErrorKind::OutcomeUnknown),
            Outcome::Unavailable => Err(ErrorKind::Unconfirmed),
            Outcome::DiskFull => Err(ErrorKind::DiskFull),
        }
    }

    /// The newest committed image, once a quorum has confirmed after this call that this node still leads.
    pub async fn confirm(&self) -> Result<Rc<Image>, ErrorKind> {
        let outcome = self.ask(|ticket| Input::Read { ticket });
        match self.env.timeout(self.bounds.call_timeout(), outcome).await {
            Ok(Outcome::Confirmed(image) | Outcome::Committed(image)) => Ok(image),
            _ => Err(ErrorKind::Unconfirmed),
        }
    }

    /// Hands leadership over, and the place among the members where another control node can take it, before the
    /// process ends.
    pub async fn leave(&self) {
        self.queue(Input::Leave, None);
        let gone = self.bell.wait_until(|| self.core.borrow().may_end().then_some(()));
        let _ = self.env.timeout(self.bounds.call_timeout() * 2, gone).await;
    }

    /// Whether this node leads for sure: its term is committed and a quorum was heard within the lease.
    pub fn leads(&self) -> bool {
        self.core.borrow().leads(self.env.now())
    }

    /// The term, and when this node began to lead it.
    pub fn term(&self) -> (u64, Duration) {
        self.core.borrow().term()
    }

    /// Whether a control node that led before is alive and follows this leader.
    pub fn earlier_leader_alive(&self) -> bool {
        self.core.borrow().earlier_leader_alive()
    }

    /// The newest image known to lie on a quorum of disks; only while leading.
    pub fn image(&self) -> Option<Rc<Image>> {
        self.core.borrow().committed_image()
    }

    /// Who leads, as far as this node knows.
    pub fn leader(&self) -> String {
        self.core.borrow().leader().into()
    }

    /// What the leader of the term before left, where it handed over to this node and nobody led between.
    pub fn inherited_leases(&self) -> Option<InheritedLeases> {
        self.core.borrow().inherited_leases().cloned()
    }

    /// Sets what lists the leases on groups' primaries, for a successor.
    pub fn report_leases(&self, report: impl Fn() -> Vec<OutstandingLease> + 'static) {
        *self.lease_reporter.borrow_mut() = Some(Box::new(report));
    }

    /// Whether the disk holds no image that counts.
    pub fn empty(&self) -> bool {
        self.core.borrow().durable().empty()
    }

    /// Says what the other side of a link should know of this control node.
    pub fn hello(&self, hello: &mut Hello) {
        let core = self.core.borrow();
        let state = core.durable();
        hello.incarnation = state.incarnation;
        hello.empty = state.empty();
        hello.rescued = state.rescued;
        hello.may_form = state.may_form();
    }

    /// Whether another process counts by the same bounds; leases and holds rest on that.
    pub fn agrees(&self, name: &str, rule: u64) -> bool {
        let differs = rule != 0 && rule != self.bounds.digest() && !self.guards.any_bounds;
        if differs && self.other_bounds.borrow_mut().insert(name.into()) {
            self.log(format!("{name} counts by other bounds; it is not dealt with"));
        }
        if !differs {
            self.other_bounds.borrow_mut().remove(name);
        }
        !differs
    }

    fn log(&self, text: impl AsRef<str>) {
        self.env.log(Component::Agree, text);
    }
}
