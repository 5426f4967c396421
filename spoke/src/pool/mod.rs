//! The connections to one server, within the share of them that this node was granted.

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

/// The session whose state is applied on an HTTP connection: its id, the database, and how many of its session
/// statements were executed there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StateOwner {
    pub session: u64,
    pub database: String,
    pub statements: usize,
}

/// The session values and prepared names that are applied on a protocol connection.
#[derive(Debug, Default)]
pub struct AppliedState {
    values: BTreeMap<String, String>,
    /// By the prepared text, its name on this connection. The names that clients chose could clash.
    prepared_names: BTreeMap<String, String>,
}

enum ConnectionKind {
    Http(Client),
    Protocol(Box<dyn ServerConnection>, AppliedState),
}

impl ConnectionKind {
    fn is_open(&mut self) -> bool {
        match self {
            ConnectionKind::Http(client) => client.is_open(),
            ConnectionKind::Protocol(connection, _) => connection.is_open(),
        }
    }
}

struct PooledConnection {
    link: ConnectionKind,
    state_owner: Option<StateOwner>,
    /// Since when the connection has been idle; meaningless while it is in use.
    idle_since: Duration,
}

/// Up to this many nodes each sample a server's position at the full rate.
const READERS_AT_FULL_RATE: u64 = 12;

/// The protocol that sessions with the server are opened with, and the group's name; `None` for servers that use HTTP.
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
    /// How long a connection may be idle while connections are scarce.
    max_idle: Duration,
    /// Whether more nodes need a connection than the server accepts.
    pub scarce: Cell<bool>,
    /// How many nodes share the server's connections.
    pub sharers: Cell<u64>,
    /// Until when no connection is opened, after the server rejected one.
    connect_backoff_until: Cell<Duration>,
    /// Since when attempts to open a connection have failed; `None` after a success or without attempts.
    connecting_since: Cell<Option<Duration>>,
    pub protocol: GroupProtocol,
    /// How many connections were opened.
    pub opened: Cell<u64>,
    /// How many requests were rejected because the queue of waiters was full.
    pub rejected_full: Cell<u64>,
}

impl Pool {
    /// A pool that may not open any connection until `set_limit` is called.
    pub fn new(
        env: &Env,
        server: &str,
        addr: SocketAddr,
        max_waiters: usize,
        connect_timeout: Duration,
        max_idle: Duration,
        protocol: GroupProtocol,
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
            max_waiters,
            connect_timeout,
            max_idle,
            scarce: Cell::default(),
            sharers: Cell::new(1),
            connect_backoff_until: Cell::default(),
            connecting_since: Cell::default(),
            protocol,
            opened: Cell::new(0),
            rejected_full: Cell::new(0),
        })
    }

    /// How many connections are open or being opened.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Since when attempts to open a connection have failed.
    pub fn connecting_since(&self) -> Option<Duration> {
        self.connecting_since.get()
    }

    /// Forgets failed attempts to open a connection, as no further ones are made.
    pub fn clear_connecting(&self) {
        self.connecting_since.set(None);
    }

    /// How many connections are idle.
    pub fn idle(&self) -> usize {
        self.idle.borrow().len()
    }

    /// How many connections may be open.
    pub fn limit(&self) -> usize {
        self.max_open.get()
    }

    /// The factor by which this node stretches its sampling interval for the server's position, so that all nodes that
    /// share the server together read it no more often than a few nodes would.
    pub fn sampling_factor(&self) -> u32 {
        u32::try_from(self.sharers.get() / READERS_AT_FULL_RATE).unwrap_or(u32::MAX).max(1)
    }

    /// How many sessions wait for a connection.
    pub fn waiting(&self) -> usize {
        self.waiters.borrow().len()
    }

    /// How many connections are in use.
    pub fn in_use(&self) -> usize {
        self.in_use.get()
    }

    /// How many connections this pool could use: the peak in use, which decays with each call, the waiters, and one
    /// spare.
    pub fn wanted(&self) -> usize {
        let wanted = self.peak_in_use.get() + self.waiting() + 1;
        self.peak_in_use.set(self.in_use.get().max(self.peak_in_use.get() * 3 / 4));
        wanted
    }

    /// Changes how many connections may be open: closes idle ones above the limit, and admits waiters below it.
    pub fn set_limit(self: &Rc<Self>, limit: usize) {
        self.max_open.set(limit);
        while self.open.get() > limit {
            let Some(connection) = self.idle.borrow_mut().pop() else { break };
            drop(connection);
            self.open.set(self.open.get() - 1);
        }
        if limit == 0 {
            self.waiters.borrow_mut().clear();
        }
        self.admit_waiters();
    }

    /// Closes connections to a scarce server that have been idle for too long, so that other nodes can use them.
    pub fn close_long_idle(self: &Rc<Self>) {
        if !self.scarce.get() || self.idle.borrow().is_empty() {
            return;
        }
        let now = self.env.now();
        let mut idle = self.idle.borrow_mut();
        let before = idle.len();
        idle.retain(|connection| now < connection.idle_since + self.max_idle);
        self.open.set(self.open.get() - (before - idle.len()));
    }

    fn admit_waiters(self: &Rc<Self>) {
        while self.open.get() < self.max_open.get() && !self.is_backing_off() {
            let Some(waiter) = self.waiters.borrow_mut().pop_front() else { return };
            self.open.set(self.open.get() + 1);
            // If the waiter is gone, dropping the slot releases it again.
            let _ = waiter.send(Slot::new(self, None));
        }
    }

    /// Acquires a connection, in the order of requests, and opens one if necessary.
    ///
    /// # Errors
    /// `DeadlineExceeded` if none is available until `deadline`, `Overloaded` if too many sessions wait or the server
    /// accepts no further one, `NoServer` if the node has no share of the server or can't connect.
    pub async fn acquire(self: &Rc<Self>, deadline: Duration) -> Result<Slot, ErrorKind> {
        loop {
            let mut slot = self.acquire_slot(deadline).await?;
            let Err(kind) = slot.connect(deadline).await else { return Ok(slot) };
            drop(slot);
            // While no new connection can be opened, an existing one may still become free.
            if self.protocol.is_none() || self.open.get() == 0 || self.env.now() >= deadline {
                return Err(kind);
            }
            self.connect_backoff_until.set(self.env.now() + self.connect_timeout / 8);
        }
    }

    /// Whether no connection is opened at present because one failed recently.
    fn is_backing_off(&self) -> bool {
        self.env.now() < self.connect_backoff_until.get() && self.open.get() > 0
    }

    async fn acquire_slot(self: &Rc<Self>, deadline: Duration) -> Result<Slot, ErrorKind> {
        loop {
            let wait_until =
                if self.is_backing_off() { deadline.min(self.connect_backoff_until.get()) } else { deadline };
            match self.try_acquire_slot(wait_until).await {
                Err(ErrorKind::DeadlineExceeded) if wait_until < deadline => {}
                result => return result,
            }
        }
    }

    async fn try_acquire_slot(self: &Rc<Self>, deadline: Duration) -> Result<Slot, ErrorKind> {
        if self.max_open.get() == 0 {
            return Err(ErrorKind::NoServer);
        }
        loop {
            let Some(mut connection) = self.idle.borrow_mut().pop() else { break };
            if connection.link.is_open() {
                return Ok(Slot::new(self, Some(connection)));
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
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().push_back(sender);
        let timeout = deadline.saturating_sub(self.env.now());
        match self.env.timeout(timeout, receiver).await {
            Ok(Ok(slot)) => Ok(slot),
            Ok(Err(_)) => Err(ErrorKind::NoServer),
            Err(_) => Err(ErrorKind::DeadlineExceeded),
        }
    }

    /// Takes back a slot: passes its connection to the next waiter or keeps it idle, or closes it.
    fn release(self: &Rc<Self>, connection: Option<PooledConnection>) {
        let keep = self.open.get() <= self.max_open.get();
        match connection.and_then(|mut c| (keep && c.link.is_open()).then_some(c)) {
            Some(connection) => {
                let waiter = self.waiters.borrow_mut().pop_front();
                match waiter {
                    Some(waiter) => {
                        let _ = waiter.send(Slot::new(self, Some(connection)));
                    }
                    None => self.idle.borrow_mut().push(PooledConnection { idle_since: self.env.now(), ..connection }),
                }
            }
            _ => {
                self.open.set(self.open.get() - 1);
                self.admit_waiters();
            }
        }
    }
}
