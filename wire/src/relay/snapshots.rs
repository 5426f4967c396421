//! State snapshots on their way down the tree. A process keeps the newest snapshot and sends each child what it lacks:
//! a delta if the child holds exactly the snapshot that the delta builds on, and the full snapshot otherwise.

use std::{cell::Cell, rc::Rc, time::Duration};

use super::Relay;
use crate::{
    Body, EncodedFrame, FullSnapshot, Message, Snapshot, SnapshotDelta, SnapshotRequest, SnapshotVersion,
    snapshot::DeltaError,
};

/// A child that lacks deltas of more bytes than this is sent the full snapshot.
const MAX_CATCH_UP_BYTES: usize = 256 << 10;

/// The snapshot that was last sent to a child.
#[derive(Clone, Copy)]
pub(super) struct SentSnapshot {
    /// The snapshot that the child holds once it has read all that was sent.
    version: SnapshotVersion,
    at: Duration,
}

/// How snapshots reached this process, counted since the start.
#[derive(Default)]
pub struct SnapshotCounters {
    /// Full snapshots received.
    pub full: Cell<u64>,
    /// Encoded bytes of the full snapshots received.
    pub full_bytes: Cell<u64>,
    /// Deltas received.
    pub deltas: Cell<u64>,
    /// Encoded bytes of the deltas received.
    pub delta_bytes: Cell<u64>,
    /// Deltas whose result was not the state that was published.
    pub mismatches: Cell<u64>,
    /// How often this process requested the full snapshot from its parent.
    pub requests: Cell<u64>,
}

fn add(counter: &Cell<u64>, count: u64) {
    counter.set(counter.get() + count);
}

impl Relay {
    /// The newest snapshot that this process has.
    pub fn latest_snapshot(&self) -> Option<Rc<Snapshot>> {
        self.snapshot.borrow().clone()
    }

    pub(super) fn snapshot_version(&self) -> SnapshotVersion {
        self.snapshot.borrow().as_ref().map(|snapshot| snapshot.version).unwrap_or_default()
    }

    /// Stores a snapshot that this process made, and sends it to the children.
    pub fn publish(&self, mut new: Snapshot) {
        if let Some(old) = self.latest_snapshot() {
            new.keep_unchanged(&old);
        }
        self.store_snapshot(new, None);
    }

    /// Handles a full snapshot from the parent.
    pub(super) fn on_full_snapshot(&self, message: FullSnapshot) {
        add(&self.snapshot_counters.full, 1);
        add(&self.snapshot_counters.full_bytes, message.encoded_len() as u64);
        self.snapshot_requested_at.set(None);
        if let Some(new) = Snapshot::from_message(message) {
            self.store_snapshot(new, None);
        }
    }

    /// Handles a delta from the parent; requests the full snapshot if the delta does not fit.
    pub(super) fn on_delta(&self, delta: SnapshotDelta) {
        add(&self.snapshot_counters.deltas, 1);
        add(&self.snapshot_counters.delta_bytes, delta.encoded_len() as u64);
        let old = self.latest_snapshot().unwrap_or_default();
        match old.apply(&delta) {
            Ok(new) => {
                drop(old);
                self.store_snapshot(new, Some(delta));
            }
            Err(DeltaError::Old) => {}
            Err(DeltaError::Gap) => self.request_full_snapshot(),
            Err(DeltaError::Digest) => {
                add(&self.snapshot_counters.mismatches, 1);
                self.log(format!("the snapshot from the delta after {:?} did not come out as published", old.version));
                self.request_full_snapshot();
            }
        }
    }

    /// Requests the full snapshot from the parent: once, and again only if none has arrived within the call timeout.
    fn request_full_snapshot(&self) {
        let now = self.env.now();
        let timeout = self.bounds().call_timeout();
        if self.snapshot_requested_at.get().is_some_and(|at| now < at + timeout) {
            return;
        }
        let Some(writer) = self.parent.borrow().as_ref().map(|p| p.writer.clone()) else { return };
        self.snapshot_requested_at.set(Some(now));
        add(&self.snapshot_counters.requests, 1);
        writer.send(Body::SnapshotRequest(SnapshotRequest { version: Some(self.snapshot_version()) }));
    }

    /// Stores a snapshot and sends it to the children; ignores one that is not newer than the current one.
    fn store_snapshot(&self, new: Snapshot, delta: Option<SnapshotDelta>) {
        let old = self.latest_snapshot().unwrap_or_default();
        if new.version <= old.version {
            return;
        }
        let new = Rc::new(new);
        let delta = match delta {
            Some(delta) => Some(delta),
            None if self.children.borrow().is_empty() => None,
            None => Some(old.delta_to(&new)),
        };
        match delta {
            Some(delta) => self.recent_deltas.borrow_mut().push(delta),
            None => self.recent_deltas.borrow_mut().clear(),
        }
        *self.full_frame.borrow_mut() = None;
        *self.snapshot.borrow_mut() = Some(new.clone());
        self.handler().on_snapshot(&new);
        let children: Vec<u64> = self.children.borrow().keys().copied().collect();
        children.into_iter().for_each(|id| self.update_child(id));
    }

    /// The frame with the full newest snapshot; `None` if it is too large.
    fn full_frame(&self, newest: &Snapshot) -> Option<Rc<EncodedFrame>> {
        let mut cached = self.full_frame.borrow_mut();
        if let Some((version, frame)) = &*cached
            && *version == newest.version
        {
            return Some(frame.clone());
        }
        let frame = Rc::new(EncodedFrame::new(Body::FullSnapshot(newest.to_message()))?);
        *cached = Some((newest.version, frame.clone()));
        Some(frame)
    }

    /// Sends a child what it lacks, if it is known to hold an older snapshot: the deltas since then, or the full
    /// snapshot if they are not kept any more.
    fn update_child(&self, id: u64) {
        let Some(newest) = self.latest_snapshot() else { return };
        let mut children = self.children.borrow_mut();
        let Some(child) = children.get_mut(&id) else { return };
        let Some(sent) = child.sent_snapshot.filter(|sent| sent.version < newest.version) else { return };
        let deltas = self.recent_deltas.borrow().since(sent.version, MAX_CATCH_UP_BYTES);
        let queued = match deltas.filter(|_| child.accepts_deltas) {
            Some(deltas) => {
                deltas.iter().all(|delta| delta.frame().is_some_and(|frame| child.writer.send_encoded(frame)))
            }
            None => self.full_frame(&newest).is_some_and(|frame| child.writer.send_encoded(&frame)),
        };
        if queued {
            child.sent_snapshot = Some(SentSnapshot { version: newest.version, at: self.env.now() });
        }
    }

    /// Handles the snapshot version from a child's heartbeat. If that is still older than the one last sent to the
    /// child when the stale timeout has passed since then, what was sent is taken as lost and the update is sent again.
    pub(super) fn on_child_version(&self, id: u64, version: SnapshotVersion) {
        let now = self.env.now();
        if let Some(child) = self.children.borrow_mut().get_mut(&id) {
            let lost =
                child.sent_snapshot.is_some_and(|sent| version < sent.version && now > sent.at + self.stale_timeout());
            if child.sent_snapshot.is_none() || lost {
                child.sent_snapshot = Some(SentSnapshot { version, at: now });
            }
        }
        self.update_child(id);
    }

    /// Sends the full snapshot to a child that requested it because a delta did not fit the snapshot it holds.
    pub(super) fn on_snapshot_request(&self, id: u64, version: SnapshotVersion) {
        let Some(newest) = self.latest_snapshot().filter(|newest| version < newest.version) else { return };
        let mut children = self.children.borrow_mut();
        let Some(child) = children.get_mut(&id) else { return };
        if self.full_frame(&newest).is_some_and(|frame| child.writer.send_encoded(&frame)) {
            child.sent_snapshot = Some(SentSnapshot { version: newest.version, at: self.env.now() });
        }
    }
}
