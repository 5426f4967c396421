//! The newest deltas that a process received or made. A child that is some versions behind is sent those that it lacks,
//! in place of the full snapshot.

use std::{collections::VecDeque, rc::Rc};

use prost::Message;

use crate::{SnapshotDelta, SnapshotVersion};

/// The total encoded size at which the oldest deltas are dropped.
const MAX_BYTES: usize = 512 << 10;

/// Deltas, each of which builds on the result of the one before; the last leads to the newest snapshot.
#[derive(Default)]
pub(super) struct RecentDeltas {
    deltas: VecDeque<(Rc<SnapshotDelta>, usize)>,
    bytes: usize,
}

impl RecentDeltas {
    /// Adds the delta to a newer snapshot. Deltas to another snapshot than the one it builds on are dropped.
    pub fn push(&mut self, delta: SnapshotDelta) {
        if self.deltas.back().is_some_and(|(newest, _)| newest.version != delta.base_version) {
            self.clear();
        }
        let bytes = delta.encoded_len();
        self.bytes += bytes;
        self.deltas.push_back((Rc::new(delta), bytes));
        while self.bytes > MAX_BYTES {
            let Some((_, dropped)) = self.deltas.pop_front() else { return };
            self.bytes -= dropped;
        }
    }

    /// Drops all deltas, as the newest snapshot is not the result of one.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// The deltas that lead from a version to the newest one; none if they are not all kept, or if together they are
    /// larger than `max_bytes`.
    pub fn since(&self, version: SnapshotVersion, max_bytes: usize) -> Option<Vec<Rc<SnapshotDelta>>> {
        let first = self.deltas.iter().position(|(delta, _)| delta.base_version == Some(version))?;
        let lacking = self.deltas.range(first..);
        let bytes: usize = lacking.clone().map(|(_, bytes)| bytes).sum();
        (bytes <= max_bytes).then(|| lacking.map(|(delta, _)| delta.clone()).collect())
    }
}
