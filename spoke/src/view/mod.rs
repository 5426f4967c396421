//! What a spoke knows: events appended to a journal, and the view folded from them.

mod apply;

use std::{
    cell::{Ref, RefCell},
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use base::{notify::Notify, runtime::Env};
use wire::{Image, NodeHeartbeatAck, Route, Snapshot, SnapshotVersion};

/// How many events the journal keeps for inspection.
const MAX_JOURNAL_LINES: usize = 512;

/// Something the spoke was told.
pub enum Event {
    Snapshot(Rc<Snapshot>),
    HeartbeatAck {
        ack: NodeHeartbeatAck,
        sent_at: Duration,
    },
    /// A server said on the spoke's own connection that it is draining, or no longer.
    Draining {
        server: String,
        draining: bool,
    },
}

/// A server as the spoke knows it.
#[derive(Clone, Debug, Default)]
pub struct Server {
    pub addr: String,
    pub zone: String,
    /// Since when it is known to drain.
    pub draining_since: Option<Duration>,
    /// Since when it is known to be gone.
    pub gone_since: Option<Duration>,
    pub cold: f64,
}

/// The leave to act on a leader.
#[derive(Clone, Debug, PartialEq)]
pub struct PrimaryLease {
    pub server: String,
    pub epoch: u64,
    pub valid_until: Duration,
    /// Since when leave to act on this leader was held without a break.
    pub held_since: Duration,
}

/// This node's share of a server's connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    pub count: u64,
    pub valid_until: Duration,
    /// More nodes want a connection than there are: one that rests is given back soon.
    pub scarce: bool,
    /// How many nodes share the server's connections.
    pub sharers: u64,
}

/// Folded from all events so far.
#[derive(Default)]
pub struct View {
    pub image: Option<Rc<Image>>,
    pub servers: BTreeMap<String, Server>,
    /// Since when each emptied area is known to be emptied.
    pub evacuated_since: BTreeMap<String, Duration>,
    pub primary_leases: BTreeMap<String, PrimaryLease>,
    pub shares: BTreeMap<String, Share>,
    pub snapshot_version: SnapshotVersion,
    /// The leading hub's word was the newest at this time.
    pub confirmed_at: Option<Duration>,
    /// How often a leader grant was taken back.
    pub lost_leases: u64,
    unconfirmed_acks: Vec<(Duration, SnapshotVersion)>,
}

impl View {
    /// The doorway of a name; news keeps them in order.
    pub fn route(&self, name: &str) -> Option<&Route> {
        let doorways = &self.image.as_ref()?.routes;
        let at = doorways.binary_search_by(|d| d.name.as_str().cmp(name)).ok()?;
        doorways.get(at)
    }
}

/// The journal and its view.
pub struct Journal {
    env: Env,
    lines: RefCell<VecDeque<(Duration, String)>>,
    view: RefCell<View>,
    /// Rung after each event.
    pub changed: Notify,
}

impl Journal {
    /// An empty journal.
    pub fn new(env: &Env) -> Rc<Self> {
        Rc::new(Self {
            env: env.clone(),
            lines: RefCell::default(),
            view: RefCell::default(),
            changed: Notify::default(),
        })
    }

    /// Appends an event and folds it into the view.
    pub fn append(&self, event: Event) {
        let now = self.env.now();
        let line = self.view.borrow_mut().apply(now, event);
        if let Some(l) = line {
            let mut ring = self.lines.borrow_mut();
            if ring.len() == MAX_JOURNAL_LINES {
                ring.pop_front();
            }
            ring.push_back((now, l));
        }
        self.changed.notify_waiters();
    }

    /// The view as it stands.
    pub fn view(&self) -> Ref<'_, View> {
        self.view.borrow()
    }

    /// The newest events, oldest first.
    pub fn lines(&self) -> Vec<(Duration, String)> {
        self.lines.borrow().iter().cloned().collect()
    }
}
