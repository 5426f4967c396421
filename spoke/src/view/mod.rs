//! The node's view of the cluster state: events are appended to a journal and applied to the view.

mod apply;

use std::{
    cell::{Ref, RefCell},
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use base::{notify::Notify, runtime::Env};
use wire::{Group, Image, NodeHeartbeatAck, Route, Snapshot, SnapshotVersion};

/// How many lines the journal keeps for inspection.
const MAX_JOURNAL_LINES: usize = 512;

/// Information that the node received about the cluster.
pub enum Event {
    /// A snapshot of the cluster state.
    Snapshot(Rc<Snapshot>),
    /// The acknowledgement of a heartbeat that this node sent at `sent_at`.
    HeartbeatAck { ack: NodeHeartbeatAck, sent_at: Duration },
    /// A server reported on one of the node's own connections whether it is draining.
    Draining { server: String, draining: bool },
}

/// The state of a server in the view.
#[derive(Clone, Debug, Default)]
pub struct Server {
    pub addr: String,
    pub zone: String,
    /// Since when the server has been draining, as far as the node was informed.
    pub draining_since: Option<Duration>,
    /// Since when the server has been reported unreachable.
    pub gone_since: Option<Duration>,
    /// How cold the server's caches are, from 0 (warm) to 1.
    pub cold: f64,
}

/// The node's lease to use a server as primary.
#[derive(Clone, Debug, PartialEq)]
pub struct PrimaryLease {
    pub server: String,
    pub epoch: u64,
    pub valid_until: Duration,
    /// Since when the node has held a lease for this primary without interruption.
    pub held_since: Duration,
}

/// This node's share of a server's connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    pub count: u64,
    pub valid_until: Duration,
    /// Whether nodes need more connections than there are; an idle one is then closed early.
    pub scarce: bool,
    /// How many nodes share the server's connections.
    pub sharers: u64,
}

/// The state that results from all events so far.
#[derive(Default)]
pub struct View {
    pub image: Option<Rc<Image>>,
    pub servers: BTreeMap<String, Server>,
    /// Since when each evacuated zone has been evacuated, as far as the node was informed.
    pub evacuated_since: BTreeMap<String, Duration>,
    /// The primary lease of each group.
    pub primary_leases: BTreeMap<String, PrimaryLease>,
    /// The share of each server's connections.
    pub shares: BTreeMap<String, Share>,
    pub snapshot_version: SnapshotVersion,
    /// The latest time at which the node's snapshot was the newest one of the leading control node.
    pub confirmed_at: Option<Duration>,
    /// How many times an acknowledgement ended a primary lease.
    pub lost_leases: u64,
    /// By server, the position of its group in the image.
    group_positions: BTreeMap<String, usize>,
    /// Acknowledged heartbeats whose snapshot version the node does not have yet: when each was sent, and the version.
    unconfirmed_acks: Vec<(Duration, SnapshotVersion)>,
}

impl View {
    /// The group that a server belongs to; `None` if it is being removed.
    pub fn group_of(&self, server: &str) -> Option<&Group> {
        self.image.as_ref()?.groups.get(*self.group_positions.get(server)?)
    }

    /// The route with this name. Snapshots keep the routes sorted by name.
    pub fn route(&self, name: &str) -> Option<&Route> {
        let routes = &self.image.as_ref()?.routes;
        let index = routes.binary_search_by(|d| d.name.as_str().cmp(name)).ok()?;
        routes.get(index)
    }
}

/// The view, and a journal of the latest events that changed it.
pub struct Journal {
    env: Env,
    lines: RefCell<VecDeque<(Duration, String)>>,
    view: RefCell<View>,
    /// Notified after each event.
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

    /// Appends an event and applies it to the view.
    pub fn append(&self, event: Event) {
        let now = self.env.now();
        let line = self.view.borrow_mut().apply(now, event);
        if let Some(line) = line {
            let mut lines = self.lines.borrow_mut();
            if lines.len() == MAX_JOURNAL_LINES {
                lines.pop_front();
            }
            lines.push_back((now, line));
        }
        self.changed.notify_waiters();
    }

    /// The current view.
    pub fn view(&self) -> Ref<'_, View> {
        self.view.borrow()
    }

    /// The latest journal lines with their times, oldest first.
    pub fn lines(&self) -> Vec<(Duration, String)> {
        self.lines.borrow().iter().cloned().collect()
    }
}
