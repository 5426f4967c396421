//! The identity of an order, and the list of applied orders in the image.
//!
//! An operator who received no response sends the same order again, to any node and at any time. The order is
//! recognized by its digest. The numbers of applied orders rise strictly, so the list drops the oldest first and keeps
//! the highest number that it dropped: for an order up to that number it can't be determined any more whether it was
//! applied.

use wire::Image;

/// How many applied orders the list holds at most.
pub const MAX_APPLIED_ORDERS: usize = 512;

const DIGEST_BYTES: usize = 16;
const NUMBER_BYTES: usize = 8;

/// The size of one order in the list, in bytes.
pub const RECORD_BYTES: usize = NUMBER_BYTES + DIGEST_BYTES;

/// The identity of a numbered order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrderIdentity {
    /// The operator's number of the order.
    pub number: u64,
    digest: [u8; DIGEST_BYTES],
    /// The identity in the format of earlier versions: CRC-32 and length of the body.
    legacy_checksum: u64,
}

/// Whether an order was applied, according to the replicated state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OrderStatus {
    /// The order was applied.
    Applied,
    /// The order may have been applied so long ago that it is no longer in the list.
    Forgotten,
    /// The order was not applied.
    NotApplied,
}

impl OrderIdentity {
    /// The identity of an order with this method, number and body that is based on version `after`.
    pub fn new(method: &str, after: Option<u64>, number: u64, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [method.as_bytes(), &after.map_or_else(Vec::new, |version| version.to_be_bytes().to_vec()), body] {
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let mut digest = [0; DIGEST_BYTES];
        hasher.finalize_xof().fill(&mut digest);
        let legacy_checksum = u64::from(crc32fast::hash(body)) << 32 | body.len() as u64;
        Self { number, digest, legacy_checksum }
    }

    /// The order's entry in the list.
    fn record(&self) -> [u8; RECORD_BYTES] {
        let mut out = [0; RECORD_BYTES];
        out[..NUMBER_BYTES].copy_from_slice(&self.number.to_be_bytes());
        out[NUMBER_BYTES..].copy_from_slice(&self.digest);
        out
    }

    /// Looks up whether this order, which is based on version `after`, was applied.
    pub fn lookup(&self, image: &Image, after: Option<u64>) -> OrderStatus {
        let record = self.record();
        let remembered = image.applied_orders.chunks_exact(RECORD_BYTES).any(|other| other == record);
        let remembered_as_legacy =
            image.legacy_orders.contains(&wire::LegacyOrder { number: self.number, sum: self.legacy_checksum });
        if remembered || remembered_as_legacy {
            return OrderStatus::Applied;
        }
        // An order whose number is not above the version that it is based on was never applied, at any time.
        let may_be_old = after.is_none_or(|version| version < self.number);
        if may_be_old && self.number <= image.highest_forgotten_order {
            OrderStatus::Forgotten
        } else {
            OrderStatus::NotApplied
        }
    }

    /// Records in the state that the order was applied, and drops the oldest orders over [`REMEMBERED`].
    pub fn remember(&self, image: &mut Image) {
        image.operator_version = self.number;
        image.applied_orders.extend(self.record());
        let count = image.applied_orders.len() / RECORD_BYTES + image.legacy_orders.len();
        let mut excess = count.saturating_sub(MAX_APPLIED_ORDERS);
        // Orders in the legacy format are the oldest.
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
