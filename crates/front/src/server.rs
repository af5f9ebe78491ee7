use core::time;
use std::io;
use std::net;
use std::sync;

use tokio::sync::watch;
use tokio_util::task;

use crate::connection;
use crate::counters;
use crate::handler;
use crate::options;
use crate::routes;
use crate::service;
use crate::slots;
use crate::throttle;
use crate::tls;

/// Time to wait after the listener failed to accept, such as when the process
/// is out of file descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// A listener for callers.
pub struct Server {
    address: net::SocketAddr,
    shared: sync::Arc<connection::Shared>,
    slots: sync::Arc<slots::Slots>,
    stop: watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Starts to accept callers.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the certificate cannot be used.
    pub async fn start(
        listen: net::SocketAddr,
        options: options::Options,
        service: sync::Arc<dyn service::Service>,
    ) -> io::Result<Self> {
        let tls = match options.tls.clone() {
            None => None,
            Some(options) => Some(tls::Acceptor::new(options).map_err(invalid)?),
        };
        let slots = slots::Slots::new(options.connections_max, options.address_connections_max);
        let state = routes::State {
            service,
            options: sync::Arc::new(options),
        };
        Self::listen(listen, connection::Shared::new(state, tls), slots).await
    }

    /// Starts to accept callers whose whole requests another crate answers.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start_with_handler(
        listen: net::SocketAddr,
        options: options::Options,
        handler: sync::Arc<dyn handler::Handler>,
    ) -> io::Result<Self> {
        let slots = slots::Slots::new(options.connections_max, options.address_connections_max);
        let shared = connection::Shared::with_handler(options, handler);
        Self::listen(listen, shared, slots).await
    }

    async fn listen(
        listen: net::SocketAddr,
        shared: connection::Shared,
        slots: slots::Slots,
    ) -> io::Result<Self> {
        let listener = tokio::net::TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let slots = sync::Arc::new(slots);
        let shared = sync::Arc::new(shared);
        let listener = Listener {
            listener,
            shared: shared.clone(),
            slots: slots.clone(),
            throttle: throttle::Throttle::default(),
        };
        let task = tokio::spawn(listener.accept(stopped));
        Ok(Self {
            address,
            shared,
            slots,
            stop,
            task,
        })
    }

    /// Returns the address that was bound.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns what happened to connections since the start.
    pub fn counters(&self) -> counters::Counters {
        self.shared.cells.read(self.slots.open() as u64)
    }

    /// Replaces the limits of requests and connections. Bounds on the number of
    /// connections stay.
    pub fn set_options(&self, options: options::Options) {
        self.shared.set_options(options);
    }

    /// Stops accepting and waits until every request in flight has its answer.
    pub async fn shutdown(self) {
        self.stop.send_replace(true);
        if self.task.await.is_err() {
            log::error!(target: "front", "accept loop panicked");
        }
    }
}

fn invalid(cause: tls::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, cause)
}

struct Listener {
    listener: tokio::net::TcpListener,
    shared: sync::Arc<connection::Shared>,
    slots: sync::Arc<slots::Slots>,
    throttle: throttle::Throttle,
}

impl Listener {
    async fn accept(mut self, mut stopped: watch::Receiver<bool>) {
        let connections = task::TaskTracker::new();
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = stopped.wait_for(|&stop| stop) => break,
            };
            let (stream, remote) = match accepted {
                Ok(pair) => pair,
                Err(cause) => {
                    log::warn!(target: "front", "accept failed: {cause}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let slot = match self.slots.take(remote.ip()) {
                Ok(slot) => slot,
                Err(full) => {
                    self.refuse(remote, full);
                    continue;
                }
            };
            let serving = connection::serve(self.shared.clone(), stream, remote, stopped.clone());
            connections.spawn(async move {
                serving.await;
                drop(slot);
            });
        }
        drop(self.listener);
        connections.close();
        connections.wait().await;
    }

    fn refuse(&mut self, remote: net::SocketAddr, full: slots::Full) {
        let cells = &self.shared.cells;
        counters::count(match full {
            slots::Full::All => &cells.refused_all,
            slots::Full::Address => &cells.refused_address,
        });
        if let Some(count) = self.throttle.note(std::time::Instant::now()) {
            log::warn!(
                target: "front",
                "connection of {remote} refused: {full}; {count} refused since the last message"
            );
        }
    }
}
