//! Large frames in pieces: compressed, cut, and put together again at the other side.

use bytes::Bytes;

use crate::{
    Body, Piece,
    link::{LinkError, MAX_FRAME_BYTES, decode},
};

/// The largest piece, and the largest frame that is sent as it is.
pub const PIECE: usize = 16 << 10;

/// Cuts a frame. A link carries the pieces of one frame after another, so that none has to be named.
pub(crate) fn cut(frame: &[u8]) -> Vec<Piece> {
    let packed = Bytes::from(lz4_flex::block::compress(frame));
    let count = packed.len().div_ceil(PIECE);
    let piece = |at: usize| {
        let end = packed.len().min((at + 1) * PIECE);
        let last = at + 1 == count;
        Piece { data: packed.slice(at * PIECE..end).to_vec(), frame_size: if last { frame.len() as u32 } else { 0 } }
    };
    (0..count).map(piece).collect()
}

/// The pieces of one frame that came so far.
#[derive(Default)]
pub(crate) struct Assembly(Vec<u8>);

impl Assembly {
    /// Adds a piece; gives the frame's body with the last one.
    pub fn add(&mut self, piece: Piece) -> Result<Option<Body>, LinkError> {
        self.0.extend_from_slice(&piece.data);
        let size = piece.frame_size as usize;
        if self.0.len() > MAX_FRAME_BYTES || size > MAX_FRAME_BYTES * 2 {
            return Err(LinkError::Corrupt);
        }
        if size == 0 {
            return Ok(None);
        }
        let packed = std::mem::take(&mut self.0);
        let frame = lz4_flex::block::decompress(&packed, size).map_err(|_| LinkError::Corrupt)?;
        match decode(&frame)? {
            Some((Body::Piece(_), _)) | None => Err(LinkError::Corrupt),
            Some((body, _)) => Ok(Some(body)),
        }
    }
}
