//! Calls between daemons over capnp-rpc.
//!
//! Its objects live on one thread; [`client::Client`] and [`server::listen`] are the border to the
//! rest of the process.

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

/// Largest message accepted, in words of eight bytes.
const MAX_MESSAGE_WORDS: usize = (16 << 20) / 8;

/// Runs capnp-rpc over an established connection.
fn network(stream: TcpStream, side: Side) -> VatNetwork<BufReader<ReadHalf<TcpStream>>> {
    let (reader, writer) = stream.split();
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    VatNetwork::new(BufReader::new(reader), writer, side, options)
}
