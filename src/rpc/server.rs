//! Receiving side: accepts other daemons' connections and serves their calls.

use {
    super::network,
    crate::{
        call::{Call, Serve},
        call_capnp::peer,
        spawn::spawn,
    },
    async_std::net::{TcpListener, TcpStream},
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side},
    futures::FutureExt,
    std::{io, net::SocketAddr, panic::AssertUnwindSafe, rc::Rc, sync::Arc},
};

struct Peer {
    serve: Arc<dyn Serve>,
}

impl peer::Server for Peer {
    async fn call(
        self: Rc<Self>,
        params: peer::CallParams,
        mut results: peer::CallResults,
    ) -> Result<(), capnp::Error> {
        let call = Call::read(params.get()?.get_call()?)?;
        let serving = AssertUnwindSafe(self.serve.serve(call)).catch_unwind();
        let reply = serving
            .await
            .map_err(|_| capnp::Error::failed("the call panicked".into()))?;
        reply.write(results.get().init_reply());
        Ok(())
    }

    async fn config(
        self: Rc<Self>,
        _: peer::ConfigParams,
        mut results: peer::ConfigResults,
    ) -> Result<(), capnp::Error> {
        results.get().set_document(&self.serve.config_document());
        Ok(())
    }
}

/// Serves calls that arrive at `addr`; must run on a thread with local tasks.
pub async fn listen(addr: SocketAddr, serve: Arc<dyn Serve>) -> io::Result<()> {
    let listener = TcpListener::bind(addr).await?;
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        spawn(
            "connection from daemon",
            connection(stream, Arc::clone(&serve)),
        );
    }
}

async fn connection(stream: TcpStream, serve: Arc<dyn Serve>) {
    let client: peer::Client = capnp_rpc::new_client(Peer { serve });
    let system = RpcSystem::new(Box::new(network(stream, Side::Server)), Some(client.client));
    let ended = system.await;
    tracing::debug!(?ended, "connection from daemon ended");
}
