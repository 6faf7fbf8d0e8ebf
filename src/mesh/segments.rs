//! Body that grows in pieces which are never moved.
//!
//! A contiguous buffer is copied when it grows, so that the allocator holds two copies for a moment
//! and gaps between other buffers afterwards: several times the length of the body.

use crate::mesh::http::{BodyBuffer, BodyLimit, MessageError};

/// Largest piece that is allocated in advance.
const MAX_PIECE_BYTES: usize = 256 * 1024;

/// Pieces of one body; each costs some memory besides its bytes.
const MAX_PIECES: usize = 4_096;

/// Body in pieces.
#[derive(Debug, Default)]
pub struct Segments {
    pieces: Vec<Vec<u8>>,
    length: usize,
    capacity: usize,
}

impl Segments {
    /// Appends the body to a buffer.
    pub fn write(&self, out: &mut Vec<u8>) {
        self.pieces
            .iter()
            .for_each(|piece| out.extend_from_slice(piece));
    }

    /// Copy in one piece.
    pub fn to_vec(&self) -> Vec<u8> {
        self.pieces.concat()
    }
}

impl BodyBuffer for Segments {
    fn len(&self) -> usize {
        self.length
    }

    fn append(&mut self, bytes: &[u8], limit: &mut impl BodyLimit) -> Result<(), MessageError> {
        let room = self.capacity - self.length;
        let (first, rest) = bytes.split_at(room.min(bytes.len()));
        if let Some(last) = self.pieces.last_mut() {
            last.extend_from_slice(first);
        }
        self.length += first.len();
        if rest.is_empty() {
            return Ok(());
        }
        let wanted = rest.len().max(self.length.min(MAX_PIECE_BYTES));
        let piece_bytes = if limit.grow((self.capacity + wanted) as u64) {
            wanted
        } else if self.pieces.len() < MAX_PIECES && limit.grow((self.capacity + rest.len()) as u64)
        {
            rest.len()
        } else {
            return Err(MessageError::BodyTooLarge);
        };
        let mut piece = Vec::new();
        piece.reserve_exact(piece_bytes);
        piece.extend_from_slice(rest);
        self.pieces.push(piece);
        self.length += rest.len();
        self.capacity += piece_bytes;
        Ok(())
    }
}
