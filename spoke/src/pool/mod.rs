//! The connections to one server, within the share granted to this node.

mod slot;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use base::{
    ErrorKind,
    http::Client,
    protocol::{ServerConnection, ServerProtocol},
    runtime::Env,
};
use futures::channel::oneshot;

pub use slot::Slot;

/// Whose session state a connection wears: session, database, how many of its statements.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StateOwner {
    pub session: u64,
    pub name: String,
    pub count: usize,
}

/// Session values and prepared names that a connection in the users' manner wears.
#[derive(Debug, Default)]
pub struct AppliedState {
    values: BTreeMap<String, String>,
    /// By what was prepared, the name it has on this connection; callers' own names clash.
    names: BTreeMap<String, String>,
}

enum Link {
    Http(Client),
    Talk(Box<dyn ServerConnection>, AppliedState),
}

impl Link {
    fn open(&mut self) -> bool {
        match self {
            Link::Http(c) => c.is_open(),
            Link::Talk(l, _) => l.is_open(),
        }
    }
}

struct Conn {
    line: Link,
    dress: Option<StateOwner>,
    /// Since when it rests, while it does.
    resting_since: Duration,
}

/// How many nodes may each read a server's position at the full rate.
const READERS_AT_FULL_RATE: u64 = 12;

/// How sessions in the users' manner are opened: the manner and the group's name.
pub type Speech = Option<(Rc<dyn ServerProtocol>, String)>;

/// The connections to one server.
pub struct Pool {
    env: Env,
    pub server: String,
    pub addr: SocketAddr,
    limit: Cell<usize>,
    open: Cell<usize>,
    used: Cell<usize>,
    peak: Cell<usize>,
    idle: RefCell<Vec<Conn>>,
    inbox: RefCell<VecDeque<oneshot::Sender<Slot>>>,
    most: usize,
    /// How long opening a connection may take.
    dial: Duration,
    /// How long a connection may rest where connections are scarce.
    resting: Duration,
    /// More nodes want a connection than the server takes.
    pub scarce: Cell<bool>,
    /// How many nodes share the server's connections.
    pub sharers: Cell<u64>,
    /// Until when no connection is opened, as the server turned one away.
    shy: Cell<Duration>,
    /// Since when no connection could be opened, while some were tried.
    trying: Cell<Option<Duration>>,
    pub speech: Speech,
    /// How many connections were opened.
    pub opened: Cell<u64>,
    /// How many requests were turned away because the inbox was full.
    pub full: Cell<u64>,
}

impl Pool {
    /// A pool that may open nothing yet.
    pub fn new(
        env: &Env,
        server: &str,
        addr: SocketAddr,
        most: usize,
        dial: Duration,
        resting: Duration,
        speech: Speech,
    ) -> Rc<Self> {
        Rc::new(Self {
            env: env.clone(),
            server: server.into(),
            addr,
            limit: Cell::new(0),
            open: Cell::new(0),
            used: Cell::new(0),
            peak: Cell::new(0),
            idle: RefCell::default(),
            inbox: RefCell::default(),
            most,
            dial,
            resting,
            scarce: Cell::default(),
            sharers: Cell::new(1),
            shy: Cell::default(),
            trying: Cell::default(),
            speech,
            opened: Cell::new(0),
            full: Cell::new(0),
        })
    }

    /// How many connections are open or being opened.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Since when opening a connection has brought nothing.
    pub fn trying(&self) -> Option<Duration> {
        self.trying.get()
    }

    /// Nothing is tried here any more.
    pub fn rest(&self) {
        self.trying.set(None);
    }

    /// How many connections rest.
    pub fn idle(&self) -> usize {
        self.idle.borrow().len()
    }

    /// How many may be open.
    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    /// How many times as seldom this node reads the server's position, so that all who share it together ask no more often
    /// than a few nodes would.
    pub fn reading_factor(&self) -> u32 {
        u32::try_from(self.sharers.get() / READERS_AT_FULL_RATE).unwrap_or(u32::MAX).max(1)
    }

    /// How many sessions wait.
    pub fn waiting(&self) -> usize {
        self.inbox.borrow().len()
    }

    /// How many connections are in use.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// What this pool could use: the most at once since last asked, those who wait, and one to spare.
    pub fn want(&self) -> usize {
        let want = self.peak.get() + self.waiting() + 1;
        self.peak.set(self.used.get().max(self.peak.get() * 3 / 4));
        want
    }

    /// Changes how many may be open; closes idle ones above it, lets those in who wait.
    pub fn set_limit(self: &Rc<Self>, limit: usize) {
        self.limit.set(limit);
        while self.open.get() > limit {
            let Some(c) = self.idle.borrow_mut().pop() else { break };
            drop(c);
            self.open.set(self.open.get() - 1);
        }
        if limit == 0 {
            self.inbox.borrow_mut().clear();
        }
        self.admit();
    }

    /// Closes connections to a scarce server that have rested for long enough: others want them.
    pub fn give_back_resting(self: &Rc<Self>) {
        if !self.scarce.get() || self.idle.borrow().is_empty() {
            return;
        }
        let now = self.env.now();
        let mut idle = self.idle.borrow_mut();
        let before = idle.len();
        idle.retain(|conn| now < conn.resting_since + self.resting);
        self.open.set(self.open.get() - (before - idle.len()));
    }

    fn admit(self: &Rc<Self>) {
        while self.open.get() < self.limit.get() && !self.shies() {
            let Some(next) = self.inbox.borrow_mut().pop_front() else { return };
            self.open.set(self.open.get() + 1);
            // A waiter that has left gives the slot back as it is dropped.
            let _ = next.send(Slot::new(self, None));
        }
    }

    /// Waits in turn for a connection, until `due` at the latest.
    pub async fn get(self: &Rc<Self>, due: Duration) -> Result<Slot, ErrorKind> {
        loop {
            let mut slot = self.turn(due).await?;
            let Err(kind) = slot.connect(due).await else { return Ok(slot) };
            drop(slot);
            // Where no new connection can be had, one that stands may still carry it.
            if self.speech.is_none() || self.open.get() == 0 || self.env.now() >= due {
                return Err(kind);
            }
            self.shy.set(self.env.now() + self.dial / 8);
        }
    }

    /// Whether no connection is to be opened just now.
    fn shies(&self) -> bool {
        self.env.now() < self.shy.get() && self.open.get() > 0
    }

    async fn turn(self: &Rc<Self>, due: Duration) -> Result<Slot, ErrorKind> {
        loop {
            let end = if self.shies() { due.min(self.shy.get()) } else { due };
            match self.wait_turn(end).await {
                Err(ErrorKind::DeadlineExceeded) if end < due => {}
                out => return out,
            }
        }
    }

    async fn wait_turn(self: &Rc<Self>, due: Duration) -> Result<Slot, ErrorKind> {
        if self.limit.get() == 0 {
            return Err(ErrorKind::NoServer);
        }
        loop {
            let Some(mut c) = self.idle.borrow_mut().pop() else { break };
            if c.line.open() {
                return Ok(Slot::new(self, Some(c)));
            }
            self.open.set(self.open.get() - 1);
        }
        if self.open.get() < self.limit.get() && !self.shies() {
            self.open.set(self.open.get() + 1);
            return Ok(Slot::new(self, None));
        }
        if self.inbox.borrow().len() >= self.most {
            self.full.set(self.full.get() + 1);
            return Err(ErrorKind::Overloaded);
        }
        let (give, wait) = oneshot::channel();
        self.inbox.borrow_mut().push_back(give);
        let span = due.saturating_sub(self.env.now());
        match self.env.timeout(span, wait).await {
            Ok(Ok(slot)) => Ok(slot),
            Ok(Err(_)) => Err(ErrorKind::NoServer),
            Err(_) => Err(ErrorKind::DeadlineExceeded),
        }
    }

    fn back(self: &Rc<Self>, conn: Option<Conn>) {
        let keep = self.open.get() <= self.limit.get();
        match conn.and_then(|mut c| (keep && c.line.open()).then_some(c)) {
            Some(c) => {
                let next = self.inbox.borrow_mut().pop_front();
                match next {
                    Some(n) => {
                        let _ = n.send(Slot::new(self, Some(c)));
                    }
                    None => self.idle.borrow_mut().push(Conn { resting_since: self.env.now(), ..c }),
                }
            }
            _ => {
                self.open.set(self.open.get() - 1);
                self.admit();
            }
        }
    }
}
