//! The form of a state on the disk, with a checksum.

use std::rc::Rc;

use prost::Message;
use wire::Image;

use super::DurableState;

/// A state as it is written. The image is a message of its own, written from where it is shared.
#[derive(Clone, PartialEq, Message)]
struct StoredState {
    #[prost(uint64, tag = "1")]
    term: u64,
    #[prost(string, tag = "2")]
    voted_for: String,
    #[prost(uint64, tag = "3")]
    version_term: u64,
    #[prost(uint64, tag = "4")]
    version_index: u64,
    #[prost(bytes = "vec", optional, tag = "5")]
    image: Option<Vec<u8>>,
    #[prost(uint64, tag = "6")]
    incarnation: u64,
    #[prost(bool, tag = "7")]
    rescued: bool,
    #[prost(string, repeated, tag = "8")]
    formation_seeds: Vec<String>,
}

impl StoredState {
    fn of(state: &DurableState) -> Self {
        Self {
            term: state.term,
            voted_for: state.voted_for.clone(),
            version_term: state.version_term,
            version_index: state.version_index,
            image: state.image.as_ref().map(|image| image.encode_to_vec()),
            incarnation: state.incarnation,
            rescued: state.rescued,
            formation_seeds: state.formation_seeds.clone(),
        }
    }

    fn read(self) -> Result<DurableState, prost::DecodeError> {
        let image = self.image.map(|data| Image::decode(&data[..])).transpose()?;
        Ok(DurableState {
            term: self.term,
            voted_for: self.voted_for,
            version_term: self.version_term,
            version_index: self.version_index,
            image: image.map(Rc::new),
            incarnation: self.incarnation,
            rescued: self.rescued,
            formation_seeds: self.formation_seeds,
        })
    }
}

/// The disk format this program writes.
pub const FORMAT: u32 = 1;
const MARK: [u8; 4] = *b"pspk";
/// The bytes before a record's data.
pub const HEAD: usize = 28;

/// Writes one record: mark, format, turn, size, checksum, data.
pub fn encode(turn: u64, state: &DurableState) -> Vec<u8> {
    let data = StoredState::of(state).encode_to_vec();
    let mut out = Vec::with_capacity(HEAD + data.len());
    out.extend_from_slice(&MARK);
    out.extend_from_slice(&FORMAT.to_le_bytes());
    out.extend_from_slice(&turn.to_le_bytes());
    out.extend_from_slice(&(data.len() as u64).to_le_bytes());
    let mut sum = crc32fast::Hasher::new();
    sum.update(&out);
    sum.update(&data);
    out.extend_from_slice(&sum.finalize().to_le_bytes());
    out.extend_from_slice(&data);
    out
}

fn word(buf: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(std::array::from_fn(|i| buf[at + i]))
}

/// Reads the record at the front: its turn, content and size. `None` when it is not whole; the format when it is newer.
pub fn decode(buf: &[u8]) -> Result<Option<(u64, DurableState, usize)>, u32> {
    if buf.len() < HEAD || buf[..4] != MARK {
        return Ok(None);
    }
    let format = u32::from_le_bytes(std::array::from_fn(|i| buf[4 + i]));
    let Some(size) = usize::try_from(word(buf, 16)).ok().filter(|s| *s <= buf.len() - HEAD) else {
        return Ok(None);
    };
    let mut sum = crc32fast::Hasher::new();
    sum.update(&buf[..24]);
    sum.update(&buf[HEAD..HEAD + size]);
    if sum.finalize().to_le_bytes() != buf[24..28] {
        return Ok(None);
    }
    if format > FORMAT {
        return Err(format);
    }
    match StoredState::decode(&buf[HEAD..HEAD + size]).and_then(StoredState::read) {
        Ok(state) => Ok(Some((word(buf, 8), state, HEAD + size))),
        Err(_) => Ok(None),
    }
}
