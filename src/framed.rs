//! TCP connection that limits an HTTP/1.1 parser to one message at a time.
//!
//! The parser reads ahead into a buffer that it drops after each message. [`Framed`] therefore
//! passes on only the bytes of one head and then those of one body, and keeps the bytes that follow
//! for the next message.

use {
    crate::chunks::ChunkPosition,
    async_std::net::TcpStream,
    futures::{AsyncRead, AsyncWrite, ready},
    parking_lot::Mutex,
    std::{
        error::Error,
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
};

/// Maximum number of bytes read at once while a head is expected.
const READ_BYTES: usize = 4_096;

/// Largest head of a message. The parser itself checks the length of a head only at its line ends.
const MAX_HEAD_BYTES: u64 = 64 * 1_024;

/// Part of a message that the parser may read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    /// Up to the empty line that ends the head.
    Head,
    /// A body with this many bytes left.
    Body(u64),
    /// A chunked body.
    Chunked(ChunkPosition),
}

#[derive(Debug)]
struct State {
    part: Part,
    /// Received bytes that the parser has not read yet.
    buffered: Vec<u8>,
    /// Bytes read of the current head.
    head_bytes: u64,
    /// Bytes read of the current line of the head, without line ends.
    line_bytes: u64,
    write_attempted: bool,
    written_bytes: u64,
}

/// Shared handle of one connection.
#[derive(Debug, Clone)]
pub struct Framed {
    stream: TcpStream,
    state: Arc<Mutex<State>>,
}

impl Framed {
    /// Wraps a connection on which a head is expected next.
    pub fn new(stream: TcpStream) -> Self {
        let state = State {
            part: Part::Head,
            buffered: Vec::new(),
            head_bytes: 0,
            line_bytes: 0,
            write_attempted: false,
            written_bytes: 0,
        };
        Self {
            stream,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns the underlying connection.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Expects a head next; returns false if the previous body was not read completely.
    pub fn expect_head(&self) -> bool {
        let mut state = self.state.lock();
        let is_complete = state.part == Part::Head || state.is_at_end();
        state.part = Part::Head;
        state.head_bytes = 0;
        state.line_bytes = 0;
        is_complete
    }

    /// Expects a body of this length next, or a chunked one.
    pub fn expect_body(&self, length_bytes: Option<u64>) {
        self.state.lock().part = match length_bytes {
            Some(length_bytes) => Part::Body(length_bytes),
            None => Part::Chunked(ChunkPosition::START),
        };
    }

    /// Ends the input of the parser: further reads return no bytes.
    pub fn stop_reading(&self) {
        self.state.lock().part = Part::Body(0);
    }

    /// Returns whether the parser has read part of a head.
    pub fn has_begun(&self) -> bool {
        self.state.lock().head_bytes > 0
    }

    /// Returns whether received bytes are left that belong to no message.
    pub fn has_surplus(&self) -> bool {
        !self.state.lock().buffered.is_empty()
    }

    /// Returns whether a write to the connection was attempted.
    pub fn write_attempted(&self) -> bool {
        self.state.lock().write_attempted
    }

    /// Returns the number of bytes written to the connection.
    pub fn written_bytes(&self) -> u64 {
        self.state.lock().written_bytes
    }
}

impl State {
    /// Copies those buffered bytes to `out` that belong to the current part; returns their number.
    ///
    /// # Errors
    ///
    /// Fails if the head is too large or a chunked body is malformed.
    fn read_buffered(&mut self, out: &mut [u8]) -> io::Result<usize> {
        let available_bytes = self.buffered.len().min(out.len());
        let read_bytes = match &mut self.part {
            Part::Head => self.head_length(available_bytes),
            Part::Body(left) => available_bytes.min(*left as usize),
            Part::Chunked(position) => position
                .advance(&self.buffered[..available_bytes])
                .map_err(invalid_data)?,
        };
        if self.head_bytes > MAX_HEAD_BYTES {
            return Err(invalid_data("head too large"));
        }
        out[..read_bytes].copy_from_slice(&self.buffered[..read_bytes]);
        self.buffered.drain(..read_bytes);
        if self.buffered.is_empty() {
            self.buffered = Vec::new();
        }
        self.advance(read_bytes);
        Ok(read_bytes)
    }

    /// Returns how many of the first `available_bytes` belong to the head, and ends the head at its
    /// empty line.
    fn head_length(&mut self, available_bytes: usize) -> usize {
        for index in 0..available_bytes {
            self.head_bytes += 1;
            match self.buffered[index] {
                b'\n' if self.line_bytes == 0 => {
                    self.part = Part::Body(0);
                    return index + 1;
                }
                b'\n' => self.line_bytes = 0,
                b'\r' => {}
                _ => self.line_bytes += 1,
            }
        }
        available_bytes
    }

    /// Returns whether the current message has ended.
    fn is_at_end(&self) -> bool {
        match self.part {
            Part::Head => false,
            Part::Body(left) => left == 0,
            Part::Chunked(position) => position.is_end(),
        }
    }

    /// End of the input at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails within a chunked body, whose trailers the parser may not have seen.
    fn end_of_stream(&self) -> io::Result<usize> {
        match self.part {
            Part::Chunked(_) => Err(io::ErrorKind::UnexpectedEof.into()),
            Part::Head | Part::Body(_) => Ok(0),
        }
    }

    /// Counts bytes read of the body.
    fn advance(&mut self, read_bytes: usize) {
        if let Part::Body(left) = &mut self.part {
            *left = left.saturating_sub(read_bytes as u64);
        }
    }

    /// Returns how many bytes the parser may read directly from the connection, or `None` if they
    /// have to go through the buffer.
    fn direct_bytes(&self) -> Option<usize> {
        match self.part {
            Part::Head | Part::Chunked(_) => None,
            Part::Body(left) => Some(usize::try_from(left).unwrap_or(usize::MAX)),
        }
    }
}

impl AsyncRead for Framed {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let shared = Arc::clone(&self.state);
        let mut state = shared.lock();
        loop {
            if !state.buffered.is_empty() || state.is_at_end() {
                let read_bytes = state.read_buffered(out)?;
                if read_bytes > 0 || out.is_empty() || state.is_at_end() {
                    return Poll::Ready(Ok(read_bytes));
                }
            } else if let Some(max_bytes) = state.direct_bytes() {
                let size_bytes = max_bytes.min(out.len());
                let reading = Pin::new(&mut self.stream).poll_read(cx, &mut out[..size_bytes]);
                let read_bytes = ready!(reading)?;
                state.advance(read_bytes);
                return Poll::Ready(Ok(read_bytes));
            }
            let mut bytes = [0; READ_BYTES];
            let reading = Pin::new(&mut self.stream).poll_read(cx, &mut bytes);
            let read_bytes = ready!(reading)?;
            if read_bytes == 0 {
                return Poll::Ready(state.end_of_stream());
            }
            state.buffered.extend_from_slice(&bytes[..read_bytes]);
        }
    }
}

fn invalid_data(error: impl Into<Box<dyn Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

impl AsyncWrite for Framed {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.state.lock().write_attempted = true;
        let written_bytes = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes))?;
        self.state.lock().written_bytes += written_bytes as u64;
        Poll::Ready(Ok(written_bytes))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
