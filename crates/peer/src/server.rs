//! Accepting side of links: listener, handshake and the calls of each link.

mod accept;
mod options;
mod session;

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use tokio::sync::watch;

use crate::counters;
use crate::handler;
use crate::limiter;
use crate::worker;

pub use options::Options;

/// State shared by all links of a server.
struct Shared {
    options: Options,
    handler: sync::Arc<dyn handler::Handler>,
    counters: sync::Arc<counters::Counters>,
    limiter: limiter::Limiter,
    /// Number of connections in the handshake.
    handshakes: atomic::AtomicUsize,
    /// Number of open links.
    links: atomic::AtomicUsize,
    next_link: atomic::AtomicU64,
    /// Becomes `true` when the server is dropped.
    stop: watch::Receiver<bool>,
}

/// Accepts links from other hosts and passes their calls to a handler.
///
/// Dropping the server closes the listener and all links.
pub struct Server {
    address: net::SocketAddr,
    counters: sync::Arc<counters::Counters>,
    stop: watch::Sender<bool>,
}

impl Server {
    /// Starts a server on the address in the options.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or a thread cannot be started.
    pub fn start(options: Options, handler: sync::Arc<dyn handler::Handler>) -> io::Result<Self> {
        let listener = net::TcpListener::bind(options.listen)?;
        Self::start_on(listener, options, handler)
    }

    /// Starts a server on a listener that is already bound. The address in the
    /// options is ignored.
    ///
    /// # Errors
    ///
    /// Fails if the listener cannot be used or a thread cannot be started.
    pub fn start_on(
        listener: net::TcpListener,
        options: Options,
        handler: sync::Arc<dyn handler::Handler>,
    ) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let counters = sync::Arc::new(counters::Counters::default());
        let (stop, stopped) = watch::channel(false);
        let workers = (0..options.threads.max(1))
            .map(|index| worker::Worker::start(&format!("peer-server-{index}")))
            .collect::<io::Result<Vec<_>>>()?;
        let shared = sync::Arc::new(Shared {
            options,
            handler,
            counters: counters.clone(),
            limiter: limiter::Limiter::default(),
            handshakes: atomic::AtomicUsize::new(0),
            links: atomic::AtomicUsize::new(0),
            next_link: atomic::AtomicU64::new(1),
            stop: stopped,
        });
        let first = workers[0].clone();
        first.spawn(move || accept::listen(shared, listener, workers));
        Ok(Self {
            address,
            counters,
            stop,
        })
    }

    /// Returns the local address of the listener, with the actual port if the
    /// options have port 0.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the counters of all links since the start of the server.
    pub fn counters(&self) -> &counters::Counters {
        &self.counters
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.send_replace(true);
    }
}
