use core::time;
use std::net;
use tokio::runtime;

use crate::identity;
use crate::keys;

/// Options of a [`crate::Server`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on; port 0 selects a free port.
    pub listen: net::SocketAddr,
    /// Identity that this host presents in the handshake.
    pub identity: identity::Identity,
    /// Keys that the handshake accepts.
    pub keys: keys::Keys,
    /// Runtime for the futures of [`crate::Handler::run`] and
    /// [`crate::Handler::fetch`].
    pub runtime: runtime::Handle,
    /// Number of threads that serve links; 0 counts as 1.
    pub threads: usize,
    /// Maximum duration of a handshake.
    pub handshake_timeout: time::Duration,
    /// Maximum number of connections in the handshake; further connections are
    /// closed.
    pub handshakes_max: usize,
    /// Maximum number of open links; further connections are closed after the
    /// handshake.
    pub links_max: usize,
    /// Maximum number of pending asks per link; further asks are refused.
    pub asks_max: usize,
    /// Maximum number of pending runs and fetches together per link; further ones
    /// are refused.
    pub runs_max: usize,
    /// Time without a call after which a link is closed. It must exceed the
    /// interval at which clients ping an open link, 10 s by default.
    pub idle_timeout: time::Duration,
    /// Account of the memory of links and of the requests that other hosts forward. The
    /// default is one of its own, sized from the memory of the machine.
    pub memory: front::Memory,
}

impl Options {
    /// Returns the default options: one thread, a handshake of at most 1 s, 2,048
    /// links and an idle time-out of 30 s.
    pub fn new(
        listen: net::SocketAddr,
        identity: identity::Identity,
        keys: keys::Keys,
        runtime: runtime::Handle,
    ) -> Self {
        Self {
            listen,
            identity,
            keys,
            runtime,
            threads: 1,
            handshake_timeout: time::Duration::from_secs(1),
            handshakes_max: 128,
            links_max: 2_048,
            asks_max: 4_096,
            runs_max: 64,
            idle_timeout: time::Duration::from_secs(30),
            memory: front::Memory::default(),
        }
    }
}
