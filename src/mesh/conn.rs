//! TCP connection with a read buffer.

use {
    crate::{
        mesh::runtime::{detach, sleep_ms, within},
        metrics::Metrics,
    },
    futures::future::poll_fn,
    socket2::SockRef,
    std::{
        cell::{Cell, RefCell},
        io,
        net::{Shutdown, SocketAddr},
        pin::Pin,
        rc::Rc,
        task::{Poll, ready},
    },
    tokio::{
        io::{AsyncRead, Interest, ReadBuf, Ready},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
    },
};

/// Bytes read in one system call.
const READ_BYTES: usize = 64 * 1024;

/// Capacity of the read buffer that an idle connection retains.
const IDLE_CAPACITY_BYTES: usize = 4 * 1024;

thread_local! {
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

/// Sending half of a connection.
#[derive(Debug)]
pub struct WriteHalf {
    half: OwnedWriteHalf,
    /// Whether a write has reported that the connection failed before the peer closed its side.
    has_failed: Cell<bool>,
}

/// TCP connection with a read buffer.
#[derive(Debug)]
pub struct Conn {
    reader: OwnedReadHalf,
    io: Rc<WriteHalf>,
    buffered: Vec<u8>,
    start: usize,
}

impl Conn {
    /// Wraps an accepted connection.
    ///
    /// # Errors
    ///
    /// Fails if the socket options cannot be set.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        Ok(Self {
            reader,
            io: Rc::new(WriteHalf {
                half: writer,
                has_failed: Cell::new(false),
            }),
            buffered: Vec::new(),
            start: 0,
        })
    }

    /// Connects to a peer.
    ///
    /// # Errors
    ///
    /// Fails if the peer refuses the connection.
    pub async fn connect(addr: SocketAddr) -> io::Result<Self> {
        Self::new(TcpStream::connect(addr).await?)
    }

    /// Connects to a peer with a timeout.
    ///
    /// # Errors
    ///
    /// Fails if the peer refuses the connection or the timeout expires.
    pub async fn connect_within(addr: SocketAddr, timeout_ms: u64) -> io::Result<Self> {
        let connected = within(timeout_ms, Self::connect(addr)).await;
        connected.unwrap_or_else(|| Err(io::Error::new(io::ErrorKind::TimedOut, "time-out")))
    }

    /// Address of the peer.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended.
    pub fn peer_addr(&self) -> io::Result<SocketAddr> {
        self.reader.peer_addr()
    }

    /// Bytes that have been read but not consumed.
    pub fn buffered(&self) -> &[u8] {
        &self.buffered[self.start..]
    }

    /// Removes bytes from the front of the read buffer.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start >= self.buffered.len() {
            self.start = 0;
            self.buffered.clear();
            if self.buffered.capacity() > IDLE_CAPACITY_BYTES {
                self.buffered = Vec::new();
            }
        }
    }

    /// Reads more bytes into the buffer, and returns their number; zero at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails. The system reports a failure to one call only; if that was a
    /// write, the stream ends with an error here too.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let count = poll_fn(|context| {
            SCRATCH.with_borrow_mut(|scratch| {
                let mut buffer = ReadBuf::new(scratch);
                ready!(Pin::new(&mut self.reader).poll_read(context, &mut buffer))?;
                append_buffered(&mut self.buffered, &mut self.start, buffer.filled());
                Poll::Ready(Ok::<_, io::Error>(buffer.filled().len()))
            })
        })
        .await?;
        if count == 0 && self.io.has_failed.get() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(count)
    }

    /// Returns whether the buffer is empty, no bytes have arrived and the peer has not closed.
    pub fn is_idle(&mut self) -> bool {
        self.buffered().is_empty()
            && SCRATCH.with_borrow_mut(|scratch| {
                let read = self.reader.try_read(scratch);
                matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
            })
    }

    /// Returns whether the peer has closed its sending side, also while bytes before its end have not
    /// been read. Waits until there is something to read.
    pub async fn is_read_closed(&self) -> bool {
        let ready = self.reader.ready(Interest::READABLE).await;
        ready.map_or(true, Ready::is_read_closed)
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails.
    pub async fn write_all(&self, bytes: &[u8]) -> io::Result<()> {
        self.io.write_all(bytes).await
    }

    /// Sending half of the connection, for use while another task reads.
    pub fn io(&self) -> Rc<WriteHalf> {
        Rc::clone(&self.io)
    }

    /// Returns the socket; `None` if the sending half is still shared.
    pub fn into_stream(self) -> Option<TcpStream> {
        let io = Rc::into_inner(self.io)?;
        // Both halves belong to the same connection.
        self.reader.reunite(io.half).ok()
    }

    /// Closes the sending side of the connection.
    pub fn shutdown_write(&self) {
        self.io.shutdown();
    }
}

impl WriteHalf {
    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails.
    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            match self.half.try_write(bytes) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => bytes = &bytes[count..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.half.writable().await?;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    // A broken pipe means that the peer had closed its side before, so that all that
                    // it sent has arrived.
                    if error.kind() != io::ErrorKind::BrokenPipe {
                        self.has_failed.set(true);
                    }
                    return Err(error);
                }
            }
        }
        Ok(())
    }

    /// Closes the sending side of the connection.
    pub fn shutdown(&self) {
        // The peer may have closed already; nothing more is sent in either case.
        let _ = SockRef::from(self.as_ref()).shutdown(Shutdown::Write);
    }
}

impl AsRef<TcpStream> for WriteHalf {
    fn as_ref(&self) -> &TcpStream {
        self.half.as_ref()
    }
}

fn append_buffered(buffered: &mut Vec<u8>, start: &mut usize, bytes: &[u8]) {
    if *start > 0 {
        buffered.drain(..*start);
        *start = 0;
    }
    buffered.extend_from_slice(bytes);
}

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_MS: u64 = 50;

/// Listens on an address.
///
/// # Errors
///
/// Fails if the address is in use or does not belong to the VM.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Accepts connections on an address, and serves each one in its own task.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub async fn serve_connections<F>(
    name: &'static str,
    addr: SocketAddr,
    metrics: &Metrics,
    serve: impl Fn(TcpStream, SocketAddr) -> F,
) -> io::Result<()>
where
    F: Future<Output = ()> + 'static,
{
    let listener = listen(addr)?;
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => detach(name, serve(stream, peer)),
            Err(error) => {
                tracing::warn!(listener = name, %error, "accepting a connection failed");
                metrics.count("accept.failed");
                sleep_ms(ACCEPT_RETRY_MS).await;
            }
        }
    }
}
