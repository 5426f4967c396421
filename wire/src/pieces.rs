//! Large frames in pieces: compressed and split by the sender, reassembled by the receiver.

use bytes::Bytes;

use crate::{
    Body, Piece,
    link::{LinkError, MAX_FRAME_BYTES, decode},
};

/// The largest piece, and the largest frame that is sent in one part.
pub const MAX_PIECE_BYTES: usize = 16 << 10;

/// Compresses a frame and splits it into pieces. A link carries the pieces of one frame before those of the next, so
/// they need no identifier.
pub(crate) fn split(frame: &[u8]) -> Vec<Piece> {
    let compressed = Bytes::from(lz4_flex::block::compress(frame));
    let count = compressed.len().div_ceil(MAX_PIECE_BYTES);
    let piece = |index: usize| {
        let end = compressed.len().min((index + 1) * MAX_PIECE_BYTES);
        let last = index + 1 == count;
        Piece {
            data: compressed.slice(index * MAX_PIECE_BYTES..end).to_vec(),
            frame_size: if last { frame.len() as u32 } else { 0 },
        }
    };
    (0..count).map(piece).collect()
}

/// The data of the pieces of one frame that have arrived so far.
#[derive(Default)]
pub(crate) struct Assembly(Vec<u8>);

impl Assembly {
    /// Adds a piece; returns the frame's body with the last one. Fails if the frame is too large or malformed, or is
    /// itself a piece.
    pub fn add(&mut self, piece: Piece) -> Result<Option<Body>, LinkError> {
        self.0.extend_from_slice(&piece.data);
        let size = piece.frame_size as usize;
        if self.0.len() > MAX_FRAME_BYTES || size > MAX_FRAME_BYTES * 2 {
            return Err(LinkError::Corrupt);
        }
        if size == 0 {
            return Ok(None);
        }
        let compressed = std::mem::take(&mut self.0);
        let frame = lz4_flex::block::decompress(&compressed, size).map_err(|_| LinkError::Corrupt)?;
        match decode(&frame)? {
            Some((Body::Piece(_), _)) | None => Err(LinkError::Corrupt),
            Some((body, _)) => Ok(Some(body)),
        }
    }
}
