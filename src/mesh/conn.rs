//! Buffered TCP connection.

use {
    async_io::Async,
    std::{
        cell::RefCell,
        io::{self, Read, Write},
        net::{SocketAddr, TcpStream},
        rc::Rc,
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
    io: Rc<Async<TcpStream>>,
    ahead: Vec<u8>,
    start: usize,
}

impl Conn {
    /// Takes an accepted connection.
    ///
    /// # Errors
    ///
    /// Fails if the socket has failed already.
    pub fn new(io: Async<TcpStream>) -> io::Result<Self> {
        io.get_ref().set_nodelay(true)?;
        Ok(Self {
            io: Rc::new(io),
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
        Self::new(Async::<TcpStream>::connect(addr).await?)
    }

    /// Address of the other side.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended.
    pub fn peer_addr(&self) -> io::Result<SocketAddr> {
        self.io.get_ref().peer_addr()
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
        loop {
            self.io.readable().await?;
            match self.read_now() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                other => return other,
            }
        }
    }

    /// Tells whether nothing has arrived and the other side has not closed.
    pub fn is_quiet(&mut self) -> bool {
        self.ahead().is_empty()
            && matches!(self.read_now(), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
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
    pub fn io(&self) -> Rc<Async<TcpStream>> {
        Rc::clone(&self.io)
    }

    /// Ends the sending side.
    pub fn shutdown(&self) {
        // The other side may have closed already, and nothing more is sent either way.
        let _ = self.io.get_ref().shutdown(std::net::Shutdown::Write);
    }

    fn read_now(&mut self) -> io::Result<usize> {
        SCRATCH.with_borrow_mut(|scratch| {
            let count = self.io.get_ref().read(scratch)?;
            if self.start > 0 {
                self.ahead.drain(..self.start);
                self.start = 0;
            }
            self.ahead.extend_from_slice(&scratch[..count]);
            Ok(count)
        })
    }
}

/// Writes all bytes to a socket.
///
/// # Errors
///
/// Fails if the connection breaks.
pub async fn write_all(io: &Async<TcpStream>, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match io.get_ref().write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(count) => bytes = &bytes[count..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => io.writable().await?,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
