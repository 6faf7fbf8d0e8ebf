//! Structure of a chunked body (RFC 9112, section 7.1), without its content.

use derive_more::{Display, Error};

/// Longest line with the size of a chunk, including extensions.
const MAX_SIZE_LINE_BYTES: usize = 4_096;

/// Largest trailer section; the decoder of `async-h1` takes up to 8 KiB.
const MAX_TRAILER_BYTES: usize = 4_096;

/// Length of the line end after the data of a chunk.
const LINE_END_BYTES: u64 = 2;

/// Error of a body that is not chunked correctly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("malformed chunk")]
pub struct MalformedChunk;

/// Position in a chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChunkPosition {
    part: Part,
    /// Bytes read of the current line, or of all trailers.
    read_bytes: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    /// Digits of the size of a chunk, with the size so far.
    Size(u64),
    /// Rest of the line with the size.
    Extension(u64),
    /// Bytes left of the data of a chunk and its line end.
    Data(u64),
    /// Trailer section; whether the current line is empty so far.
    Trailers(bool),
    /// After the body.
    End,
}

impl ChunkPosition {
    /// Beginning of a body.
    pub const START: Self = Self {
        part: Part::Size(0),
        read_bytes: 0,
    };

    /// Returns whether the body is complete.
    pub fn is_end(self) -> bool {
        self.part == Part::End
    }

    /// Moves over received bytes, and returns how many of them belong to the body. Stays at the
    /// beginning of the trailers until all of them have been received.
    ///
    /// # Errors
    ///
    /// Fails if a size is missing, invalid or too large, or if a line or the trailers are too long.
    pub fn advance(&mut self, bytes: &[u8]) -> Result<usize, MalformedChunk> {
        let mut count = 0;
        while count < bytes.len() && !self.is_end() {
            if let Part::Data(left) = &mut self.part {
                let skipped =
                    (bytes.len() - count).min(usize::try_from(*left).unwrap_or(usize::MAX));
                count += skipped;
                *left -= skipped as u64;
                if *left == 0 {
                    *self = Self::START;
                }
            } else {
                self.read_line_byte(bytes[count])?;
                count += 1;
            }
        }
        if let Part::Trailers(_) = self.part {
            count -= self.read_bytes;
            self.part = Part::Trailers(true);
            self.read_bytes = 0;
        }
        Ok(count)
    }

    fn read_line_byte(&mut self, byte: u8) -> Result<(), MalformedChunk> {
        self.read_bytes += 1;
        self.part = match (self.part, byte) {
            (Part::Size(size), _) if byte.is_ascii_hexdigit() => {
                let digit = char::from(byte).to_digit(16).map_or(0, u64::from);
                let size = size.checked_mul(16).ok_or(MalformedChunk)?;
                Part::Size(size + digit)
            }
            (Part::Size(_), _) if self.read_bytes == 1 => return Err(MalformedChunk),
            (Part::Size(0) | Part::Extension(0), b'\n') => {
                self.read_bytes = 0;
                Part::Trailers(true)
            }
            (Part::Size(size) | Part::Extension(size), b'\n') => {
                Part::Data(size.checked_add(LINE_END_BYTES).ok_or(MalformedChunk)?)
            }
            (Part::Size(size) | Part::Extension(size), _) => Part::Extension(size),
            (Part::Trailers(true), b'\n') => Part::End,
            (Part::Trailers(_), b'\n') | (Part::Trailers(true), b'\r') => Part::Trailers(true),
            (Part::Trailers(_), _) => Part::Trailers(false),
            (part @ (Part::Data(_) | Part::End), _) => part,
        };
        let max_bytes = match self.part {
            Part::Size(_) | Part::Extension(_) => MAX_SIZE_LINE_BYTES,
            _ => MAX_TRAILER_BYTES,
        };
        if self.read_bytes > max_bytes {
            return Err(MalformedChunk);
        }
        Ok(())
    }
}
