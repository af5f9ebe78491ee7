use std::sync;

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use tokio::net;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::counters;
use crate::packed;

/// RPC system of one end of a connection.
pub type System = RpcSystem<rpc_twoparty_capnp::Side>;

/// Creates the RPC system of a connection after its handshake. Messages are packed,
/// and their packed bytes are counted.
pub fn system(
    stream: net::TcpStream,
    side: rpc_twoparty_capnp::Side,
    bootstrap: Option<capnp::capability::Client>,
    counters: &sync::Arc<counters::Counters>,
) -> System {
    let (read, write) = stream.into_split();
    let read = packed::Reader::new(read, counters.clone()).compat();
    let write = packed::Writer::new(write, counters.clone()).compat_write();
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(wire::limit::MESSAGE_WORDS));
    let network = twoparty::VatNetwork::new(read, write, side, options);
    RpcSystem::new(Box::new(network), bootstrap)
}
