//! Connection of which an HTTP/1.1 parser sees one message at a time.
//!
//! A parser reads ahead into a buffer that it drops after each message. Here it is handed the bytes
//! of one head, then those of one body, so that what follows stays for the next message.

use {
    async_std::net::TcpStream,
    futures::{AsyncRead, AsyncWrite, ready},
    parking_lot::Mutex,
    std::{
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
};

/// Bytes read at one time while a head is expected.
const READ_BYTES: usize = 4_096;

/// Part of a message that the parser may read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    /// Up to the empty line that ends the head.
    Head,
    /// So many bytes of a body.
    Body(u64),
    /// A body that tells its end itself.
    Chunked,
}

#[derive(Debug)]
struct State {
    part: Part,
    ahead: Vec<u8>,
    head_bytes: u64,
    line_bytes: u64,
    was_offered: bool,
    written_bytes: u64,
}

/// Shared handle of one connection.
#[derive(Debug, Clone)]
pub struct Framed {
    stream: TcpStream,
    state: Arc<Mutex<State>>,
}

impl Framed {
    /// Takes a connection on which a head comes next.
    pub fn new(stream: TcpStream) -> Self {
        let state = State {
            part: Part::Head,
            ahead: Vec::new(),
            head_bytes: 0,
            line_bytes: 0,
            was_offered: false,
            written_bytes: 0,
        };
        Self {
            stream,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Underlying connection.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Expects a head; false if the message before it was not read to its end.
    pub fn expect_head(&self) -> bool {
        let mut state = self.state.lock();
        let is_at_end = !matches!(state.part, Part::Body(left) if left > 0);
        state.part = Part::Head;
        state.head_bytes = 0;
        state.line_bytes = 0;
        is_at_end
    }

    /// Expects a body of this length, or one that tells its end itself.
    pub fn expect_body(&self, length_bytes: Option<u64>) {
        self.state.lock().part = length_bytes.map_or(Part::Chunked, Part::Body);
    }

    /// Lets the parser read no more.
    pub fn end_input(&self) {
        self.state.lock().part = Part::Body(0);
    }

    /// Tells whether a head has begun.
    pub fn has_begun(&self) -> bool {
        self.state.lock().head_bytes > 0
    }

    /// Tells whether bytes have come that belong to no message yet.
    pub fn has_surplus(&self) -> bool {
        !self.state.lock().ahead.is_empty()
    }

    /// Tells whether any byte was handed to the system for sending.
    pub fn was_offered(&self) -> bool {
        self.state.lock().was_offered
    }

    /// Bytes that the system has taken for sending.
    pub fn written_bytes(&self) -> u64 {
        self.state.lock().written_bytes
    }
}

impl State {
    /// Hands out what the parser may see of the bytes that are there.
    fn take(&mut self, out: &mut [u8]) -> usize {
        let there_bytes = self.ahead.len().min(out.len());
        let taken_bytes = match self.part {
            Part::Head => self.take_head(there_bytes),
            Part::Body(left) => there_bytes.min(left as usize),
            Part::Chunked => there_bytes,
        };
        out[..taken_bytes].copy_from_slice(&self.ahead[..taken_bytes]);
        self.ahead.drain(..taken_bytes);
        if self.ahead.is_empty() {
            self.ahead = Vec::new();
        }
        self.advance(taken_bytes);
        taken_bytes
    }

    /// Counts bytes up to the end of the head.
    fn take_head(&mut self, there_bytes: usize) -> usize {
        for index in 0..there_bytes {
            self.head_bytes += 1;
            match self.ahead[index] {
                b'\n' if self.line_bytes == 0 => {
                    self.part = Part::Body(0);
                    return index + 1;
                }
                b'\n' => self.line_bytes = 0,
                b'\r' => {}
                _ => self.line_bytes += 1,
            }
        }
        there_bytes
    }

    fn advance(&mut self, taken_bytes: usize) {
        if let Part::Body(left) = &mut self.part {
            *left = left.saturating_sub(taken_bytes as u64);
        }
    }

    /// Most bytes that may go past the buffer, straight to the parser.
    fn direct_bytes(&self) -> Option<usize> {
        match self.part {
            Part::Head => None,
            Part::Body(left) => Some(usize::try_from(left).unwrap_or(usize::MAX)),
            Part::Chunked => Some(usize::MAX),
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
        if !state.ahead.is_empty() || state.part == Part::Body(0) {
            return Poll::Ready(Ok(state.take(out)));
        }
        if let Some(most_bytes) = state.direct_bytes() {
            let size_bytes = most_bytes.min(out.len());
            let reading = Pin::new(&mut self.stream).poll_read(cx, &mut out[..size_bytes]);
            let read_bytes = ready!(reading)?;
            state.advance(read_bytes);
            return Poll::Ready(Ok(read_bytes));
        }
        let mut bytes = [0; READ_BYTES];
        let reading = Pin::new(&mut self.stream).poll_read(cx, &mut bytes);
        let read_bytes = ready!(reading)?;
        state.ahead.extend_from_slice(&bytes[..read_bytes]);
        Poll::Ready(Ok(state.take(out)))
    }
}

impl AsyncWrite for Framed {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.state.lock().was_offered = true;
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
