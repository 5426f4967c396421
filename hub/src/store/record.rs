use wire::Message;

use super::DurableState;

/// The disk format this program writes.
pub const FORMAT: u32 = 1;
const MARK: [u8; 4] = *b"pspk";
/// The bytes before a record's data.
pub const HEAD: usize = 28;

/// Writes one record: mark, format, turn, size, checksum, data.
pub fn encode(turn: u64, state: &DurableState) -> Vec<u8> {
    let data = state.encode_to_vec();
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
    match DurableState::decode(&buf[HEAD..HEAD + size]) {
        Ok(state) => Ok(Some((word(buf, 8), state, HEAD + size))),
        Err(_) => Ok(None),
    }
}
