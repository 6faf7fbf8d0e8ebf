//! Buffered TCP connection.

use {
    crate::{
        mesh::runtime::{detach, sleep_ms, within},
        metrics::Metrics,
    },
    futures::future::poll_fn,
    socket2::SockRef,
    std::{
        cell::RefCell,
        io,
        net::{Shutdown, SocketAddr},
        pin::Pin,
        rc::Rc,
        task::{Poll, ready},
    },
    tokio::{
        io::{AsyncRead, ReadBuf},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
    },
};

/// Bytes read in one system call.
const READ_BYTES: usize = 64 * 1024;

/// Buffer capacity that an idle connection keeps.
const IDLE_CAPACITY_BYTES: usize = 4 * 1024;

thread_local! {
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

/// TCP connection with the bytes read ahead of their use.
#[derive(Debug)]
pub struct Conn {
    reader: OwnedReadHalf,
    io: Rc<OwnedWriteHalf>,
    ahead: Vec<u8>,
    start: usize,
}

impl Conn {
    /// Takes an accepted connection.
    ///
    /// # Errors
    ///
    /// Fails if the socket has failed already.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        Ok(Self {
            reader,
            io: Rc::new(writer),
            ahead: Vec::new(),
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

    /// Connects to a peer within a time.
    ///
    /// # Errors
    ///
    /// Fails if the peer refuses the connection or does not accept it in time.
    pub async fn connect_within(addr: SocketAddr, timeout_ms: u64) -> io::Result<Self> {
        let connected = within(timeout_ms, Self::connect(addr)).await;
        connected.unwrap_or_else(|| Err(io::Error::new(io::ErrorKind::TimedOut, "time-out")))
    }

    /// Address of the other side.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended.
    pub fn peer_addr(&self) -> io::Result<SocketAddr> {
        self.reader.peer_addr()
    }

    /// Bytes that were read and not yet used.
    pub fn ahead(&self) -> &[u8] {
        &self.ahead[self.start..]
    }

    /// Marks bytes as used.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start >= self.ahead.len() {
            self.start = 0;
            self.ahead.clear();
            if self.ahead.capacity() > IDLE_CAPACITY_BYTES {
                self.ahead = Vec::new();
            }
        }
    }

    /// Reads more bytes; zero at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn fill(&mut self) -> io::Result<usize> {
        poll_fn(|context| {
            SCRATCH.with_borrow_mut(|scratch| {
                let mut buffer = ReadBuf::new(scratch);
                ready!(Pin::new(&mut self.reader).poll_read(context, &mut buffer))?;
                keep(&mut self.ahead, &mut self.start, buffer.filled());
                Poll::Ready(Ok(buffer.filled().len()))
            })
        })
        .await
    }

    /// Tells whether nothing has arrived and the other side has not closed.
    pub fn is_quiet(&mut self) -> bool {
        self.ahead().is_empty()
            && SCRATCH.with_borrow_mut(|scratch| {
                let read = self.reader.try_read(scratch);
                matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
            })
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn write_all(&self, bytes: &[u8]) -> io::Result<()> {
        write_all(&self.io, bytes).await
    }

    /// Socket, for a writer apart from the reader.
    pub fn io(&self) -> Rc<OwnedWriteHalf> {
        Rc::clone(&self.io)
    }

    /// Socket of a connection that no writer holds any more.
    pub fn into_stream(self) -> Option<TcpStream> {
        let writer = Rc::into_inner(self.io)?;
        // Both halves are of this connection.
        self.reader.reunite(writer).ok()
    }

    /// Ends the sending side.
    pub fn shutdown(&self) {
        end_sending(&self.io);
    }
}

/// Ends the sending side of a connection.
pub fn end_sending(io: &OwnedWriteHalf) {
    // The other side may have closed already, and nothing more is sent either way.
    let _ = SockRef::from(io.as_ref()).shutdown(Shutdown::Write);
}

fn keep(ahead: &mut Vec<u8>, start: &mut usize, bytes: &[u8]) {
    if *start > 0 {
        ahead.drain(..*start);
        *start = 0;
    }
    ahead.extend_from_slice(bytes);
}

/// Writes all bytes to a socket.
///
/// # Errors
///
/// Fails if the connection breaks.
pub async fn write_all(io: &OwnedWriteHalf, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match io.try_write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(count) => bytes = &bytes[count..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => io.writable().await?,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Wait after a connection could not be accepted, as when descriptors run out.
const ACCEPT_RETRY_MS: u64 = 50;

/// Listens on an address.
///
/// # Errors
///
/// Fails if the address is taken or not the VM's own.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Gives each connection to an address to a task of its own.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub async fn accept_all<F>(
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
                tracing::warn!(listener = name, %error, "connection not accepted");
                metrics.count("accept.failed");
                sleep_ms(ACCEPT_RETRY_MS).await;
            }
        }
    }
}
