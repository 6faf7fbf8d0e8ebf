//! Calls between daemons over capnp-rpc.
//!
//! The objects of capnp-rpc are not `Send` and stay on the thread that created them. Other threads
//! send calls through [`client::Client`]; received calls go to the handler given to
//! [`server::listen`].

pub mod client;
mod convert;
pub mod server;

use {
    async_std::net::TcpStream,
    capnp_rpc::{rpc_twoparty_capnp::Side, twoparty::VatNetwork},
    futures::{
        AsyncReadExt,
        io::{BufReader, ReadHalf},
    },
};

/// Maximum size of an accepted message, in words of eight bytes.
const MAX_MESSAGE_WORDS: usize = (16 << 20) / 8;

/// Creates the capnp-rpc transport of an established connection.
fn network(stream: TcpStream, side: Side) -> VatNetwork<BufReader<ReadHalf<TcpStream>>> {
    let (reader, writer) = stream.split();
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    VatNetwork::new(BufReader::new(reader), writer, side, options)
}
