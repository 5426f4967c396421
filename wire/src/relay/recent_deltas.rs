//! The newest deltas that a process received or made. A child that is some versions behind is sent those that it lacks,
//! in place of the full snapshot.

use std::{cell::OnceCell, collections::VecDeque, rc::Rc};

use prost::Message;

use crate::{Body, SnapshotDelta, SnapshotVersion, link::EncodedFrame};

/// The total encoded size at which the oldest deltas are dropped.
const MAX_BYTES: usize = 512 << 10;

/// A delta, and the frame that carries it once it was sent.
pub(super) struct RecentDelta {
    delta: SnapshotDelta,
    bytes: usize,
    frame: OnceCell<Option<EncodedFrame>>,
}

impl RecentDelta {
    /// The frame that carries the delta; `None` if it is too large.
    pub fn frame(&self) -> Option<&EncodedFrame> {
        self.frame.get_or_init(|| EncodedFrame::new(Body::SnapshotDelta(self.delta.clone()))).as_ref()
    }
}

/// Deltas, each of which builds on the result of the one before; the last leads to the newest snapshot.
#[derive(Default)]
pub(super) struct RecentDeltas {
    deltas: VecDeque<Rc<RecentDelta>>,
    bytes: usize,
}

impl RecentDeltas {
    /// Adds the delta to a newer snapshot. Deltas to another snapshot than the one it builds on are dropped.
    pub fn push(&mut self, delta: SnapshotDelta) {
        if self.deltas.back().is_some_and(|newest| newest.delta.version != delta.base_version) {
            self.clear();
        }
        let bytes = delta.encoded_len();
        self.bytes += bytes;
        self.deltas.push_back(Rc::new(RecentDelta { delta, bytes, frame: OnceCell::new() }));
        while self.bytes > MAX_BYTES {
            let Some(dropped) = self.deltas.pop_front() else { return };
            self.bytes -= dropped.bytes;
        }
    }

    /// Drops all deltas, as the newest snapshot is not the result of one.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// The deltas that lead from a version to the newest one; none if they are not all kept, or if together they are
    /// larger than `max_bytes`.
    pub fn since(&self, version: SnapshotVersion, max_bytes: usize) -> Option<Vec<Rc<RecentDelta>>> {
        let first = self.deltas.iter().position(|recent| recent.delta.base_version == Some(version))?;
        let lacking = self.deltas.range(first..);
        let bytes: usize = lacking.clone().map(|recent| recent.bytes).sum();
        (bytes <= max_bytes).then(|| lacking.cloned().collect())
    }
}
