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
    pub database: String,
    pub statements: usize,
}

/// Session values and prepared names that a connection in the users' manner wears.
#[derive(Debug, Default)]
pub struct AppliedState {
    values: BTreeMap<String, String>,
    /// By what was prepared, the name it has on this connection; callers' own names clash.
    prepared_names: BTreeMap<String, String>,
}

enum ConnectionKind {
    Http(Client),
    Protocol(Box<dyn ServerConnection>, AppliedState),
}

impl ConnectionKind {
    fn is_open(&mut self) -> bool {
        match self {
            ConnectionKind::Http(c) => c.is_open(),
            ConnectionKind::Protocol(l, _) => l.is_open(),
        }
    }
}

struct PooledConnection {
    link: ConnectionKind,
    state_owner: Option<StateOwner>,
    /// Since when it rests, while it does.
    idle_since: Duration,
}

/// How many nodes may each read a server's position at the full rate.
const READERS_AT_FULL_RATE: u64 = 12;

/// How sessions in the users' manner are opened: the manner and the group's name.
pub type GroupProtocol = Option<(Rc<dyn ServerProtocol>, String)>;

/// The connections to one server.
pub struct Pool {
    env: Env,
    pub server: String,
    pub addr: SocketAddr,
    max_open: Cell<usize>,
    open: Cell<usize>,
    in_use: Cell<usize>,
    peak_in_use: Cell<usize>,
    idle: RefCell<Vec<PooledConnection>>,
    waiters: RefCell<VecDeque<oneshot::Sender<Slot>>>,
    max_waiters: usize,
    /// How long opening a connection may take.
    connect_timeout: Duration,
    /// How long a connection may rest where connections are scarce.
    max_idle: Duration,
    /// More nodes want a connection than the server takes.
    pub scarce: Cell<bool>,
    /// How many nodes share the server's connections.
    pub sharers: Cell<u64>,
    /// Until when no connection is opened, as the server turned one away.
    connect_backoff_until: Cell<Duration>,
    /// Since when no connection could be opened, while some were tried.
    connecting_since: Cell<Option<Duration>>,
    pub protocol: GroupProtocol,
    /// How many connections were opened.
    pub opened: Cell<u64>,
    /// How many requests were turned away because the inbox was full.
    pub rejected_full: Cell<u64>,
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
        speech: GroupProtocol,
    ) -> Rc<Self> {
        Rc::new(Self {
            env: env.clone(),
            server: server.into(),
            addr,
            max_open: Cell::new(0),
            open: Cell::new(0),
            in_use: Cell::new(0),
            peak_in_use: Cell::new(0),
            idle: RefCell::default(),
            waiters: RefCell::default(),
            max_waiters: most,
            connect_timeout: dial,
            max_idle: resting,
            scarce: Cell::default(),
            sharers: Cell::new(1),
            connect_backoff_until: Cell::default(),
            connecting_since: Cell::default(),
            protocol: speech,
            opened: Cell::new(0),
            rejected_full: Cell::new(0),
        })
    }

    /// How many connections are open or being opened.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Since when opening a connection has brought nothing.
    pub fn connecting_since(&self) -> Option<Duration> {
        self.connecting_since.get()
    }

    /// Nothing is tried here any more.
    pub fn clear_connecting(&self) {
        self.connecting_since.set(None);
    }

    /// How many connections rest.
    pub fn idle(&self) -> usize {
        self.idle.borrow().len()
    }

    /// How many may be open.
    pub fn limit(&self) -> usize {
        self.max_open.get()
    }

    /// How many times as seldom this node reads the server's position, so that all who share it together ask no more often
    /// than a few nodes would.
    pub fn sampling_factor(&self) -> u32 {
        u32::try_from(self.sharers.get() / READERS_AT_FULL_RATE).unwrap_or(u32::MAX).max(1)
    }

    /// How many sessions wait.
    pub fn waiting(&self) -> usize {
        self.waiters.borrow().len()
    }

    /// How many connections are in use.
    pub fn in_use(&self) -> usize {
        self.in_use.get()
    }

    /// What this pool could use: the most at once since last asked, those who wait, and one to spare.
    pub fn wanted(&self) -> usize {
        let want = self.peak_in_use.get() + self.waiting() + 1;
        self.peak_in_use.set(self.in_use.get().max(self.peak_in_use.get() * 3 / 4));
        want
    }

    /// Changes how many may be open; closes idle ones above it, lets those in who wait.
    pub fn set_limit(self: &Rc<Self>, limit: usize) {
        self.max_open.set(limit);
        while self.open.get() > limit {
            let Some(c) = self.idle.borrow_mut().pop() else { break };
            drop(c);
            self.open.set(self.open.get() - 1);
        }
        if limit == 0 {
            self.waiters.borrow_mut().clear();
        }
        self.admit_waiters();
    }

    /// Closes connections to a scarce server that have rested for long enough: others want them.
    pub fn close_long_idle(self: &Rc<Self>) {
        if !self.scarce.get() || self.idle.borrow().is_empty() {
            return;
        }
        let now = self.env.now();
        let mut idle = self.idle.borrow_mut();
        let before = idle.len();
        idle.retain(|conn| now < conn.idle_since + self.max_idle);
        self.open.set(self.open.get() - (before - idle.len()));
    }

    fn admit_waiters(self: &Rc<Self>) {
        while self.open.get() < self.max_open.get() && !self.is_backing_off() {
            let Some(next) = self.waiters.borrow_mut().pop_front() else { return };
            self.open.set(self.open.get() + 1);
            // A waiter that has left gives the slot back as it is dropped.
            let _ = next.send(Slot::new(self, None));
        }
    }

    /// Waits in turn for a connection, until `due` at the latest.
    pub async fn acquire(self: &Rc<Self>, due: Duration) -> Result<Slot, ErrorKind> {
        loop {
            let mut slot = self.acquire_slot(due).await?;
            let Err(kind) = slot.connect(due).await else { return Ok(slot) };
            drop(slot);
            // Where no new connection can be had, one that stands may still carry it.
            if self.protocol.is_none() || self.open.get() == 0 || self.env.now() >= due {
                return Err(kind);
            }
            self.connect_backoff_until.set(self.env.now() + self.connect_timeout / 8);
        }
    }

    /// Whether no connection is to be opened just now.
    fn is_backing_off(&self) -> bool {
        self.env.now() < self.connect_backoff_until.get() && self.open.get() > 0
    }

    async fn acquire_slot(self: &Rc<Self>, due: Duration) -> Result<Slot, ErrorKind> {
        loop {
            let end = if self.is_backing_off() { due.min(self.connect_backoff_until.get()) } else { due };
            match self.try_acquire_slot(end).await {
                Err(ErrorKind::DeadlineExceeded) if end < due => {}
                out => return out,
            }
        }
    }

    async fn try_acquire_slot(self: &Rc<Self>, due: Duration) -> Result<Slot, ErrorKind> {
        if self.max_open.get() == 0 {
            return Err(ErrorKind::NoServer);
        }
        loop {
            let Some(mut c) = self.idle.borrow_mut().pop() else { break };
            if c.link.is_open() {
                return Ok(Slot::new(self, Some(c)));
            }
            self.open.set(self.open.get() - 1);
        }
        if self.open.get() < self.max_open.get() && !self.is_backing_off() {
            self.open.set(self.open.get() + 1);
            return Ok(Slot::new(self, None));
        }
        if self.waiters.borrow().len() >= self.max_waiters {
            self.rejected_full.set(self.rejected_full.get() + 1);
            return Err(ErrorKind::Overloaded);
        }
        let (give, wait) = oneshot::channel();
        self.waiters.borrow_mut().push_back(give);
        let span = due.saturating_sub(self.env.now());
        match self.env.timeout(span, wait).await {
            Ok(Ok(slot)) => Ok(slot),
            Ok(Err(_)) => Err(ErrorKind::NoServer),
            Err(_) => Err(ErrorKind::DeadlineExceeded),
        }
    }

    fn release(self: &Rc<Self>, conn: Option<PooledConnection>) {
        let keep = self.open.get() <= self.max_open.get();
        match conn.and_then(|mut c| (keep && c.link.is_open()).then_some(c)) {
            Some(c) => {
                let next = self.waiters.borrow_mut().pop_front();
                match next {
                    Some(n) => {
                        let _ = n.send(Slot::new(self, Some(c)));
                    }
                    None => self.idle.borrow_mut().push(PooledConnection { idle_since: self.env.now(), ..c }),
                }
            }
            _ => {
                self.open.set(self.open.get() - 1);
                self.admit_waiters();
            }
        }
    }
}
