//! Forwarders at the daemons' advertised addresses, which delay and cut links.
//!
//! Each daemon connects from its own IP address, which tells a forwarder both ends of a link.

use {
    crate::network::{Link, Network},
    async_std::{
        io::{self, ReadExt, WriteExt},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket},
        stream::StreamExt,
        task::{self, JoinHandle},
    },
    futures::future::join,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const CHUNK_BYTES: usize = 16 * 1024;
/// Limit of delayed chunks in one direction of one connection.
const MAX_QUEUED_CHUNKS: usize = 256;
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(5);
const DATAGRAM_BYTES: usize = 65_536;

/// Forwarding tasks.
pub struct Forwarders {
    tasks: Vec<JoinHandle<()>>,
}

/// Data and the time at which it is delivered.
struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

impl Forwarders {
    /// Starts one forwarder for each host of the network.
    pub async fn start(network: &Arc<Network>) -> io::Result<Self> {
        let mut tasks = Vec::new();
        let mut sockets = Vec::new();
        for host in network.hosts() {
            let listener = TcpListener::bind(network.advertised_calls(host)).await?;
            tasks.push(task::spawn(forward_calls(network.clone(), listener, host)));
            sockets.push(UdpSocket::bind(network.advertised_gossip(host)).await?);
        }
        let sockets = Arc::new(sockets);
        for host in network.hosts() {
            tasks.push(task::spawn(forward_gossip(
                network.clone(),
                sockets.clone(),
                host,
            )));
        }
        Ok(Self { tasks })
    }

    /// Stops all forwarders and waits until their sockets are closed.
    pub async fn stop(mut self) {
        for task in self.tasks.drain(..) {
            task.cancel().await;
        }
    }
}

async fn forward_calls(network: Arc<Network>, listener: TcpListener, host: usize) {
    let mut incoming = listener.incoming();
    while let Some(stream) = incoming.next().await {
        let Ok(stream) = stream else { continue };
        task::spawn(forward_connection(network.clone(), stream, host));
    }
}

async fn forward_connection(
    network: Arc<Network>,
    inbound: TcpStream,
    host: usize,
) -> io::Result<()> {
    let source = inbound
        .peer_addr()
        .ok()
        .and_then(|addr| network.host_of(addr));
    let link = network.link(source, host);
    wait_while_cut(&link).await;
    let outbound = TcpStream::connect(network.calls(host)).await?;
    inbound.set_nodelay(true).ok();
    outbound.set_nodelay(true).ok();
    join(
        forward_bytes(inbound.clone(), outbound.clone(), link.clone()),
        forward_bytes(outbound, inbound, link),
    )
    .await;
    Ok(())
}

/// Forwards one direction of a connection until it is closed.
async fn forward_bytes(from: TcpStream, to: TcpStream, link: Arc<Link>) {
    let (sender, receiver) = async_channel::bounded::<Chunk>(MAX_QUEUED_CHUNKS);
    let read = async {
        let mut from = from;
        let mut buffer = vec![0; CHUNK_BYTES];
        while let Ok(read_bytes @ 1..) = from.read(&mut buffer).await {
            link.count_bytes(read_bytes);
            let chunk = Chunk {
                due: Instant::now() + link.delay(),
                bytes: buffer[..read_bytes].to_vec(),
            };
            if sender.send(chunk).await.is_err() {
                return;
            }
        }
        sender.close();
    };
    let write = async {
        let mut out = to.clone();
        while let Ok(chunk) = receiver.recv().await {
            sleep_until(chunk.due).await;
            wait_while_cut(&link).await;
            if out.write_all(&chunk.bytes).await.is_err() {
                break;
            }
        }
        receiver.close();
        to.shutdown(Shutdown::Write).ok();
    };
    join(read, write).await;
}

async fn forward_gossip(network: Arc<Network>, sockets: Arc<Vec<UdpSocket>>, host: usize) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((read_bytes, from)) = sockets[host].recv_from(&mut buffer).await else {
            return;
        };
        let Some(source) = network.host_of(from) else {
            continue;
        };
        let link = network.link(Some(source), host);
        if link.is_cut() {
            link.count_dropped_datagram();
            continue;
        }
        link.count_bytes(read_bytes);
        let bytes = buffer[..read_bytes].to_vec();
        let target = network.gossip(host);
        let delay = link.delay();
        let sockets = sockets.clone();
        task::spawn(send_delayed(sockets, source, target, bytes, delay));
    }
}

/// Sends a datagram after a delay, from the advertised address of its sender.
async fn send_delayed(
    sockets: Arc<Vec<UdpSocket>>,
    source: usize,
    target: SocketAddr,
    bytes: Vec<u8>,
    delay: Duration,
) {
    if !delay.is_zero() {
        task::sleep(delay).await;
    }
    sockets[source].send_to(&bytes, target).await.ok();
}

async fn sleep_until(due: Instant) {
    let wait = due.saturating_duration_since(Instant::now());
    if !wait.is_zero() {
        task::sleep(wait).await;
    }
}

async fn wait_while_cut(link: &Link) {
    while link.is_cut() {
        task::sleep(CUT_POLL_INTERVAL).await;
    }
}
