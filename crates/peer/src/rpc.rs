use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use tokio::net;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// One end of the calls on a connection.
pub type System = RpcSystem<rpc_twoparty_capnp::Side>;

/// Returns the RPC system of a connection after its handshake.
pub fn system(
    stream: net::TcpStream,
    side: rpc_twoparty_capnp::Side,
    bootstrap: Option<capnp::capability::Client>,
) -> System {
    let (read, write) = stream.into_split();
    let read = tokio::io::BufReader::with_capacity(BUFFER, read).compat();
    let write = tokio::io::BufWriter::with_capacity(BUFFER, write).compat_write();
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(wire::limit::MESSAGE_WORDS));
    let network = twoparty::VatNetwork::new(read, write, side, options);
    RpcSystem::new(Box::new(network), bootstrap)
}

/// Size of the read and of the write buffer of a link in bytes. A call takes
/// about 200 bytes, and idle links hold both buffers.
const BUFFER: usize = 2 * 1024;
