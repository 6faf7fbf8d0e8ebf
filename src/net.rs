//! Outgoing connections from the daemon's own address.

use {
    async_io::{Async, Timer},
    async_std::net::TcpStream,
    futures::future::{Either, select},
    socket2::{Domain, Protocol, Socket, Type},
    std::{
        io,
        net::{IpAddr, SocketAddr},
        pin::pin,
        time::Duration,
    },
};

/// Timeout for connecting to another VM.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Connects to `peer` from `local_ip`.
pub async fn connect(local_ip: IpAddr, peer: SocketAddr) -> io::Result<TcpStream> {
    let timer = Timer::after(Duration::from_millis(CONNECT_TIMEOUT_MS));
    match select(pin!(establish(local_ip, peer)), timer).await {
        Either::Left((stream, _)) => stream,
        Either::Right(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

async fn establish(local_ip: IpAddr, peer: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(peer), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    if local_ip.is_ipv4() == peer.is_ipv4() {
        socket.bind(&SocketAddr::new(local_ip, 0).into())?;
    }
    if let Err(error) = socket.connect(&peer.into()) {
        let is_pending =
            error.kind() == io::ErrorKind::WouldBlock || error.raw_os_error() == Some(EINPROGRESS);
        if !is_pending {
            return Err(error);
        }
    }
    let socket = Async::new_nonblocking(std::net::TcpStream::from(socket))?;
    socket.writable().await?;
    if let Some(error) = socket.get_ref().take_error()? {
        return Err(error);
    }
    let stream = socket.into_inner()?;
    stream.set_nodelay(true)?;
    Ok(TcpStream::from(stream))
}

/// Error number of a non-blocking connect that is in progress.
const EINPROGRESS: i32 = 115;
