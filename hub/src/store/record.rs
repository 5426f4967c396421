//! The encoding of a state on disk, with a checksum.

use std::rc::Rc;

use prost::Message;
use wire::Image;

use super::DurableState;

/// A state as it is stored. The image is encoded separately, because it is shared and would have to be copied
/// otherwise.
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
    fn from_state(state: &DurableState) -> Self {
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

    fn into_state(self) -> Result<DurableState, prost::DecodeError> {
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

/// The version of the disk format that this program writes.
pub const FORMAT_VERSION: u32 = 1;
/// The first bytes of every record.
const MAGIC: [u8; 4] = *b"pspk";
/// The size of a record's header, which precedes its data.
pub const HEADER_BYTES: usize = 28;

/// Encodes one record.
pub fn encode(generation: u64, state: &DurableState) -> Vec<u8> {
    with_header(generation, &encode_data(state))
}

/// Encodes the data of a record.
pub fn encode_data(state: &DurableState) -> Vec<u8> {
    StoredState::from_state(state).encode_to_vec()
}

/// Puts a record's header before its data: magic (4 bytes), format version (4), generation (8), data size (8), CRC-32
/// (4). Numbers are little-endian; the checksum covers the rest of the header and the data.
pub fn with_header(generation: u64, data: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEADER_BYTES + data.len());
    out.extend_from_slice(&MAGIC);
    out.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    out.extend_from_slice(&generation.to_le_bytes());
    out.extend_from_slice(&(data.len() as u64).to_le_bytes());
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(&out);
    checksum.update(data);
    out.extend_from_slice(&checksum.finalize().to_le_bytes());
    out.extend_from_slice(data);
    out
}

fn read_u64(buf: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(std::array::from_fn(|i| buf[at + i]))
}

/// Decodes the record at the start of `buf`: its generation, state and size in bytes. `None` if there is no valid
/// record; the error is the record's format version, if it is newer than this program's.
pub fn decode(buf: &[u8]) -> Result<Option<(u64, DurableState, usize)>, u32> {
    if buf.len() < HEADER_BYTES || buf[..4] != MAGIC {
        return Ok(None);
    }
    let format = u32::from_le_bytes(std::array::from_fn(|i| buf[4 + i]));
    let Some(size) = usize::try_from(read_u64(buf, 16)).ok().filter(|s| *s <= buf.len() - HEADER_BYTES) else {
        return Ok(None);
    };
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(&buf[..24]);
    checksum.update(&buf[HEADER_BYTES..HEADER_BYTES + size]);
    if checksum.finalize().to_le_bytes() != buf[24..28] {
        return Ok(None);
    }
    if format > FORMAT_VERSION {
        return Err(format);
    }
    match StoredState::decode(&buf[HEADER_BYTES..HEADER_BYTES + size]).and_then(StoredState::into_state) {
        Ok(state) => Ok(Some((read_u64(buf, 8), state, HEADER_BYTES + size))),
        Err(_) => Ok(None),
    }
}
