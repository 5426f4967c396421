//! News on its way down the tree: a node keeps the newest snapshot, and tells each child what it lacks, as a delta where
//! the child holds exactly the snapshot that the delta builds on, and whole otherwise.

use std::{cell::Cell, rc::Rc, time::Duration};

use super::Relay;
use crate::{
    Body, FullSnapshot, Message, Snapshot, SnapshotDelta, SnapshotRequest, SnapshotVersion, snapshot::DeltaError,
};

/// What was last sent to a child.
#[derive(Clone, Copy)]
pub(super) struct Sent {
    /// The snapshot that the child holds once it has read all that was sent.
    mark: SnapshotVersion,
    at: Duration,
}

/// How news reached this node, counted since the start.
#[derive(Default)]
pub struct SnapshotCounters {
    /// News that came whole, and their bytes.
    pub whole: Cell<u64>,
    pub whole_bytes: Cell<u64>,
    /// Deltas that came, and their bytes.
    pub deltas: Cell<u64>,
    pub delta_bytes: Cell<u64>,
    /// Deltas whose result was not the state that was published.
    pub mismatches: Cell<u64>,
    /// How often the parent was asked for the whole.
    pub requests: Cell<u64>,
}

fn add(counter: &Cell<u64>, count: u64) {
    counter.set(counter.get() + count);
}

impl Relay {
    /// The newest news this node has.
    pub fn latest(&self) -> Option<Rc<Snapshot>> {
        self.news.borrow().clone()
    }

    pub(super) fn mark(&self) -> SnapshotVersion {
        self.news.borrow().as_ref().map(|n| n.version).unwrap_or_default()
    }

    /// Takes this node's own news and hands it down.
    pub fn publish(&self, mut new: Snapshot) {
        if let Some(old) = self.latest() {
            new.keep_unchanged(&old);
        }
        self.take(new, None);
    }

    /// Takes whole news from the parent.
    pub(super) fn take_whole(&self, news: FullSnapshot) {
        add(&self.snapshot_counters.whole, 1);
        add(&self.snapshot_counters.whole_bytes, news.encoded_len() as u64);
        self.news_requested.set(None);
        if let Some(new) = Snapshot::from_message(news) {
            self.take(new, None);
        }
    }

    /// Takes a delta from the parent; asks for the whole where it does not fit.
    pub(super) fn take_delta(&self, delta: SnapshotDelta) {
        add(&self.snapshot_counters.deltas, 1);
        add(&self.snapshot_counters.delta_bytes, delta.encoded_len() as u64);
        let old = self.latest().unwrap_or_default();
        match old.apply(&delta) {
            Ok(new) => {
                drop(old);
                self.take(new, Some(delta));
            }
            Err(DeltaError::Old) => {}
            Err(DeltaError::Gap) => self.request_whole(),
            Err(DeltaError::Digest) => {
                add(&self.snapshot_counters.mismatches, 1);
                self.log(format!("news after {:?} did not come out as published", old.version));
                self.request_whole();
            }
        }
    }

    /// Asks the parent for the whole news: once, and again only if nothing came for the time a call may take.
    fn request_whole(&self) {
        let now = self.env.now();
        let span = self.bounds().call_timeout();
        if self.news_requested.get().is_some_and(|at| now < at + span) {
            return;
        }
        let Some(out) = self.parent.borrow().as_ref().map(|p| p.out.clone()) else { return };
        self.news_requested.set(Some(now));
        add(&self.snapshot_counters.requests, 1);
        out.send(Body::SnapshotRequest(SnapshotRequest { version: Some(self.mark()) }));
    }

    /// Takes a newer snapshot and hands it down; never goes back to an older one.
    fn take(&self, new: Snapshot, delta: Option<SnapshotDelta>) {
        let old = self.latest().unwrap_or_default();
        if new.version <= old.version {
            return;
        }
        let new = Rc::new(new);
        let delta = match delta {
            Some(delta) => Some(delta),
            None if self.children.borrow().is_empty() => None,
            None => Some(old.delta_to(&new)),
        };
        *self.newest_delta.borrow_mut() = delta.map(Rc::new);
        *self.news.borrow_mut() = Some(new.clone());
        self.head().on_snapshot(&new);
        let children: Vec<u64> = self.children.borrow().keys().copied().collect();
        children.into_iter().for_each(|id| self.catch_up(id));
    }

    /// Sends a child what it lacks, if that is known.
    fn catch_up(&self, id: u64) {
        let Some(newest) = self.latest() else { return };
        let mut children = self.children.borrow_mut();
        let Some(child) = children.get_mut(&id) else { return };
        let Some(sent) = child.news.filter(|sent| sent.mark < newest.version) else { return };
        let delta = self.newest_delta.borrow().clone();
        let delta = delta.filter(|d| child.deltas && d.base_version == Some(sent.mark));
        let body = match delta {
            Some(delta) => Body::SnapshotDelta((*delta).clone()),
            None => Body::FullSnapshot(newest.to_message()),
        };
        if child.out.send(body) {
            child.news = Some(Sent { mark: newest.version, at: self.env.now() });
        }
    }

    /// A child told in its beat what it holds. One that still tells of an older one long after the newest was sent gets
    /// the whole.
    pub(super) fn child_holds(&self, id: u64, mark: SnapshotVersion) {
        let now = self.env.now();
        if let Some(child) = self.children.borrow_mut().get_mut(&id) {
            let lost = child.news.is_some_and(|sent| mark < sent.mark && now > sent.at + self.stale());
            if child.news.is_none() || lost {
                child.news = Some(Sent { mark, at: now });
            }
        }
        self.catch_up(id);
    }

    /// A child asks for the whole, as a delta did not fit what it holds.
    pub(super) fn child_asks(&self, id: u64, mark: SnapshotVersion) {
        let Some(newest) = self.latest().filter(|newest| mark < newest.version) else { return };
        let mut children = self.children.borrow_mut();
        let Some(child) = children.get_mut(&id) else { return };
        if child.out.send(Body::FullSnapshot(newest.to_message())) {
            child.news = Some(Sent { mark: newest.version, at: self.env.now() });
        }
    }
}
