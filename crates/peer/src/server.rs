//! Accepting side of links.

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

/// What all links of a server share.
struct Shared {
    options: Options,
    handler: sync::Arc<dyn handler::Handler>,
    counters: sync::Arc<counters::Counters>,
    limiter: limiter::Limiter,
    handshakes: atomic::AtomicUsize,
    links: atomic::AtomicUsize,
    next_link: atomic::AtomicU64,
    stop: watch::Receiver<bool>,
}

/// Accepts links of other hosts and gives their calls to a handler.
///
/// Dropping the server closes the listener and all links.
pub struct Server {
    address: net::SocketAddr,
    counters: sync::Arc<counters::Counters>,
    stop: watch::Sender<bool>,
}

impl Server {
    /// Starts a server.
    ///
    /// # Errors
    ///
    /// Reports that the address cannot be bound or a thread cannot be started.
    pub fn start(options: Options, handler: sync::Arc<dyn handler::Handler>) -> io::Result<Self> {
        let listener = net::TcpListener::bind(options.listen)?;
        Self::start_on(listener, options, handler)
    }

    /// Starts a server on a listener that is bound already, in place of the
    /// address in the options.
    ///
    /// # Errors
    ///
    /// Reports that the listener cannot be used or a thread cannot be started.
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

    /// Returns the address on which the server listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the counters.
    pub fn counters(&self) -> &counters::Counters {
        &self.counters
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.send_replace(true);
    }
}
