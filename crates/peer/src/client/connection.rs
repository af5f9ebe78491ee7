use capnp_rpc::rpc_twoparty_capnp;
use std::net;
use tokio::task;
use wire::peer_capnp::session;

use super::Shared;
use crate::cause;
use crate::counters;
use crate::handshake;
use crate::rpc;

/// Open connection to another host; closed on drop.
pub struct Connection {
    /// RPC interface of the other host.
    pub session: session::Client,
    /// Task that drives the connection; resolves when the connection has ended.
    pub ended: task::JoinHandle<capnp::Result<()>>,
}

impl Connection {
    /// Connects, performs the handshake and waits for the answer to a ping, so that
    /// a link that the other host refuses fails before any call is sent.
    pub async fn open(shared: &Shared, address: net::SocketAddr) -> Result<Self, cause::Cause> {
        let timeout = shared.options.connect_timeout;
        let opened = tokio::time::timeout(timeout, open(shared, address)).await;
        let opened = opened.unwrap_or_else(|_| {
            shared.counters.add(counters::Count::ConnectFailed);
            Err(cause::Cause::Timeout)
        });
        match opened {
            Ok(_) => shared.counters.add(counters::Count::LinkOpened),
            Err(cause) => shared
                .limiter
                .warn(format_args!("could not open a link to {address}: {cause}")),
        }
        opened
    }
}

async fn open(shared: &Shared, address: net::SocketAddr) -> Result<Connection, cause::Cause> {
    let connected = tokio::net::TcpStream::connect(address).await;
    let mut stream = connected.map_err(|_| {
        shared.counters.add(counters::Count::ConnectFailed);
        cause::Cause::Connect
    })?;
    let _ = stream.set_nodelay(true);
    let options = &shared.options;
    let keys = options.keys.current();
    handshake::connect(&mut stream, &options.identity, &keys)
        .await
        .map_err(|error| handshake_failed(shared, error))?;

    let mut system = rpc::system(
        stream,
        rpc_twoparty_capnp::Side::Client,
        None,
        &shared.counters,
    );
    let session: session::Client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
    let ended = task::spawn_local(system);
    let connection = Connection { session, ended };
    let ping = connection.session.ping_request().send().promise;
    ping.await
        .map_err(|_| handshake_failed(shared, handshake::Error::Broken))?;
    Ok(connection)
}

fn handshake_failed(shared: &Shared, error: handshake::Error) -> cause::Cause {
    shared.counters.add(error.count());
    cause::Cause::Handshake
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.ended.abort();
    }
}
