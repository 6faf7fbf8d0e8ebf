//! Client side: one connection to each daemon, shared by all calls to it.

use {
    super::network,
    crate::{
        call::{Call, PeerClient, PeerError, Reply},
        call_capnp::peer,
        collections::HashMap,
        net,
        spawn::spawn,
    },
    async_channel::{Receiver, Sender},
    async_trait::async_trait,
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side},
    futures::{
        channel::oneshot,
        future::{Either, FutureExt, LocalBoxFuture, Shared, select},
    },
    smol_str::{SmolStr, ToSmolStr},
    std::{
        cell::RefCell,
        net::{IpAddr, SocketAddr},
        pin::pin,
        rc::Rc,
    },
};

/// Maximum number of calls queued for the client's thread.
const MAX_QUEUED_CALLS: usize = 4_096;

/// Request queued for the client's thread.
enum Job {
    Call(Box<Call>, Exchange<Reply>),
    Config(Exchange<Vec<u8>>),
}

/// Target of a request and the channel for its result.
struct Exchange<T> {
    peer: SocketAddr,
    result: oneshot::Sender<Result<T, PeerError>>,
}

/// Handle through which any thread sends calls.
#[derive(Clone)]
pub struct Client {
    jobs: Sender<Job>,
}

/// Task that sends the calls of all [`Client`] handles.
#[derive(Clone)]
pub struct ClientTask {
    jobs: Receiver<Job>,
    local_ip: IpAddr,
}

/// Creates a client whose connections come from `local_ip`.
pub fn client(local_ip: IpAddr) -> (Client, ClientTask) {
    let (sender, receiver) = async_channel::bounded(MAX_QUEUED_CALLS);
    (
        Client { jobs: sender },
        ClientTask {
            jobs: receiver,
            local_ip,
        },
    )
}

#[async_trait]
impl PeerClient for Client {
    async fn call(&self, peer: SocketAddr, call: Call) -> Result<Reply, PeerError> {
        self.exchange(peer, |exchange| Job::Call(Box::new(call), exchange))
            .await
    }

    async fn fetch_config(&self, peer: SocketAddr) -> Result<Vec<u8>, PeerError> {
        self.exchange(peer, Job::Config).await
    }
}

impl Client {
    async fn exchange<T>(
        &self,
        peer: SocketAddr,
        job: impl FnOnce(Exchange<T>) -> Job,
    ) -> Result<T, PeerError> {
        let (result, receiver) = oneshot::channel();
        if self
            .jobs
            .send(job(Exchange { peer, result }))
            .await
            .is_err()
        {
            return Err(error(
                "queue call",
                peer,
                "the client task has ended".into(),
                false,
            ));
        }
        receiver.await.unwrap_or_else(|_| {
            Err(error(
                "wait for reply",
                peer,
                "the client task dropped the call".into(),
                true,
            ))
        })
    }
}

/// Connection that is being opened or is open.
type Connecting = Shared<LocalBoxFuture<'static, Result<peer::Client, PeerError>>>;

type Connections = Rc<RefCell<HashMap<SocketAddr, Connecting>>>;

impl ClientTask {
    /// Sends calls until all [`Client`] handles are dropped; must run on a thread with local tasks.
    pub async fn run(self) {
        let connections = Connections::default();
        while let Ok(job) = self.jobs.recv().await {
            let connections = Rc::clone(&connections);
            spawn("call", job.run(connections, self.local_ip));
        }
    }
}

impl Job {
    async fn run(self, connections: Connections, local_ip: IpAddr) {
        match self {
            Self::Call(call, exchange) => {
                let peer = exchange.peer;
                let client = connection(peer, connections, local_ip);
                exchange.finish(send_call(peer, *call, client)).await;
            }
            Self::Config(exchange) => {
                let peer = exchange.peer;
                let client = connection(peer, connections, local_ip);
                exchange.finish(fetch_config(peer, client)).await;
            }
        }
    }
}

impl<T> Exchange<T> {
    /// Completes the work and sends its result; cancels it if the receiver is dropped.
    async fn finish(mut self, work: impl Future<Output = Result<T, PeerError>>) {
        let result = match select(pin!(work), self.result.cancellation()).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => return,
        };
        // Sending fails only if the receiver was dropped, which cancels the call.
        let _ = self.result.send(result);
    }
}

async fn send_call(
    peer: SocketAddr,
    call: Call,
    client: impl Future<Output = Result<peer::Client, PeerError>>,
) -> Result<Reply, PeerError> {
    let mut request = client.await?.call_request();
    call.write(request.get().init_call());
    let read_error = |source: capnp::Error| error("read reply", peer, source.to_smolstr(), true);
    let response = request
        .send()
        .promise
        .await
        .map_err(|source| error("wait for reply", peer, source.to_smolstr(), true))?;
    let results = response.get().map_err(read_error)?;
    let reply = results.get_reply().map_err(read_error)?;
    Reply::read(reply).map_err(read_error)
}

async fn fetch_config(
    peer: SocketAddr,
    client: impl Future<Output = Result<peer::Client, PeerError>>,
) -> Result<Vec<u8>, PeerError> {
    let fetch_error =
        |source: capnp::Error| error("fetch configuration", peer, source.to_smolstr(), true);
    let request = client.await?.config_request();
    let response = request.send().promise.await.map_err(fetch_error)?;
    let results = response.get().map_err(fetch_error)?;
    Ok(results.get_document().map_err(fetch_error)?.to_vec())
}

/// Returns the connection to a daemon, opening it if there is none.
async fn connection(
    peer: SocketAddr,
    connections: Connections,
    local_ip: IpAddr,
) -> Result<peer::Client, PeerError> {
    let existing = connections.borrow().get(&peer).cloned();
    let connecting = existing.unwrap_or_else(|| {
        let connecting = open(peer, Rc::clone(&connections), local_ip)
            .boxed_local()
            .shared();
        connections.borrow_mut().insert(peer, connecting.clone());
        connecting
    });
    let connected = connecting.await;
    if connected.is_err() {
        connections.borrow_mut().remove(&peer);
    }
    connected
}

/// Opens a connection and spawns the task that drives it.
async fn open(
    peer: SocketAddr,
    connections: Connections,
    local_ip: IpAddr,
) -> Result<peer::Client, PeerError> {
    let stream = net::connect(local_ip, peer)
        .await
        .map_err(|source| error("connect", peer, source.to_smolstr(), false))?;
    let mut system = RpcSystem::new(Box::new(network(stream, Side::Client)), None);
    let client: peer::Client = system.bootstrap(Side::Server);
    spawn("connection to daemon", async move {
        let ended = system.await;
        connections.borrow_mut().remove(&peer);
        tracing::debug!(%peer, ?ended, "connection to daemon ended");
    });
    Ok(client)
}

fn error(step: &'static str, peer: SocketAddr, detail: SmolStr, may_have_run: bool) -> PeerError {
    PeerError {
        step,
        peer,
        detail,
        may_have_run,
    }
}
