use core::time;
use std::net;
use tokio::runtime;

use crate::identity;
use crate::keys;

/// Options of a [`crate::Server`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on.
    pub listen: net::SocketAddr,
    /// Who this host is.
    pub identity: identity::Identity,
    /// Shared keys.
    pub keys: keys::Keys,
    /// Runtime for the futures of `run` and `fetch`.
    pub runtime: runtime::Handle,
    /// Threads that serve links.
    pub threads: usize,
    /// Longest duration of a handshake.
    pub handshake_timeout: time::Duration,
    /// Upper bound of connections that are in the handshake.
    pub handshakes_max: usize,
    /// Upper bound of links.
    pub links_max: usize,
    /// Upper bound of open asks per link; further asks are refused.
    pub asks_max: usize,
    /// Upper bound of open runs and fetches per link; further ones are refused.
    pub runs_max: usize,
    /// Time without any call after which a link is closed. Clients ping an open
    /// link every 10 s.
    pub idle_timeout: time::Duration,
}

impl Options {
    /// Returns the default options.
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
        }
    }
}
