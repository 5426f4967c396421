//! The identity of an order, and the memory of those that were taken.
//!
//! An operator whose answer was lost sends the same order again, to any node and at any time. It is known by its digest.
//! The numbers of the orders that were taken rise strictly, so the memory drops the oldest first, and keeps the highest
//! number that it dropped: of an order up to that number nobody can tell any more whether it was taken.

use wire::Image;

/// How many orders that were taken are remembered.
pub const REMEMBERED: usize = 512;

const DIGEST_BYTES: usize = 16;
const NUMBER_BYTES: usize = 8;

/// What one order takes in the memory.
pub const RECORD_BYTES: usize = NUMBER_BYTES + DIGEST_BYTES;

/// The identity of a numbered order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Identity {
    pub number: u64,
    digest: [u8; DIGEST_BYTES],
    /// What builds before this one kept as identity: CRC-32 and length of the body.
    legacy_checksum: u64,
}

/// What the agreed state tells of an order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Memory {
    /// It was taken.
    Taken,
    /// It may have been taken so long ago that it is no longer remembered.
    Forgotten,
    /// It was not taken.
    New,
}

impl Identity {
    /// The identity of an order by its method, the version that it builds on, and its body.
    pub fn new(method: &str, after: Option<u64>, number: u64, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [method.as_bytes(), &after.map_or_else(Vec::new, |version| version.to_be_bytes().to_vec()), body] {
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let mut digest = [0; DIGEST_BYTES];
        hasher.finalize_xof().fill(&mut digest);
        let old_sum = u64::from(crc32fast::hash(body)) << 32 | body.len() as u64;
        Self { number, digest, legacy_checksum: old_sum }
    }

    fn record(&self) -> [u8; RECORD_BYTES] {
        let mut out = [0; RECORD_BYTES];
        out[..NUMBER_BYTES].copy_from_slice(&self.number.to_be_bytes());
        out[NUMBER_BYTES..].copy_from_slice(&self.digest);
        out
    }

    /// What the state tells of this order, which builds on version `after`.
    pub fn recall(&self, image: &Image, after: Option<u64>) -> Memory {
        let record = self.record();
        let remembered = image.applied_orders.chunks_exact(RECORD_BYTES).any(|other| other == record);
        let remembered_as_legacy =
            image.legacy_orders.contains(&wire::LegacyOrder { number: self.number, sum: self.legacy_checksum });
        if remembered || remembered_as_legacy {
            return Memory::Taken;
        }
        // One whose number is not above what it builds on was never taken, however long ago it came.
        let may_be_old = after.is_none_or(|version| version < self.number);
        if may_be_old && self.number <= image.highest_forgotten_order { Memory::Forgotten } else { Memory::New }
    }

    /// Notes in the state that the order was taken, and drops the oldest ones over the bound.
    pub fn remember(&self, image: &mut Image) {
        image.operator_version = self.number;
        image.applied_orders.extend(self.record());
        let count = image.applied_orders.len() / RECORD_BYTES + image.legacy_orders.len();
        let mut excess = count.saturating_sub(REMEMBERED);
        // Those of the form of old are the oldest.
        let legacy_excess = excess.min(image.legacy_orders.len());
        for dropped in image.legacy_orders.drain(..legacy_excess) {
            image.highest_forgotten_order = image.highest_forgotten_order.max(dropped.number);
        }
        excess -= legacy_excess;
        for dropped in image.applied_orders.drain(..excess * RECORD_BYTES).as_slice().chunks_exact(RECORD_BYTES) {
            let mut number = [0; NUMBER_BYTES];
            number.copy_from_slice(&dropped[..NUMBER_BYTES]);
            image.highest_forgotten_order = image.highest_forgotten_order.max(u64::from_be_bytes(number));
        }
    }
}
