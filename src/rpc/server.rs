//! Server side: accepts connections from other daemons and handles their calls.

use {
    super::network,
    crate::{
        call::{Call, CallHandler},
        call_capnp::peer,
        spawn::spawn,
    },
    async_std::net::{TcpListener, TcpStream},
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side},
    futures::FutureExt,
    std::{io, net::SocketAddr, panic::AssertUnwindSafe, rc::Rc, sync::Arc},
};

/// Capability that other daemons call.
struct Peer {
    handler: Arc<dyn CallHandler>,
}

impl peer::Server for Peer {
    async fn call(
        self: Rc<Self>,
        params: peer::CallParams,
        mut results: peer::CallResults,
    ) -> Result<(), capnp::Error> {
        let call = Call::read(params.get()?.get_call()?)?;
        let handling = AssertUnwindSafe(self.handler.handle_call(call)).catch_unwind();
        let reply = handling
            .await
            .map_err(|_| capnp::Error::failed("the call handler panicked".into()))?;
        reply.write(results.get().init_reply());
        Ok(())
    }

    async fn config(
        self: Rc<Self>,
        _: peer::ConfigParams,
        mut results: peer::ConfigResults,
    ) -> Result<(), capnp::Error> {
        results.get().set_document(&self.handler.config_document());
        Ok(())
    }
}

/// Accepts connections at `addr` and passes their calls to `handler`; must run on a thread with
/// local tasks.
///
/// # Errors
///
/// Fails if the address cannot be bound or connections can no longer be accepted.
pub async fn listen(addr: SocketAddr, handler: Arc<dyn CallHandler>) -> io::Result<()> {
    let listener = TcpListener::bind(addr).await?;
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        spawn(
            "connection from daemon",
            connection(stream, Arc::clone(&handler)),
        );
    }
}

async fn connection(stream: TcpStream, handler: Arc<dyn CallHandler>) {
    let client: peer::Client = capnp_rpc::new_client(Peer { handler });
    let system = RpcSystem::new(Box::new(network(stream, Side::Server)), Some(client.client));
    let ended = system.await;
    tracing::debug!(?ended, "connection from daemon ended");
}
