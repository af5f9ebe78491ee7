use core::time;
use std::io;
use std::net;
use std::sync;

use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::task;

use crate::account;
use crate::buffers;
use crate::connection;
use crate::counters;
use crate::handler;
use crate::memory;
use crate::options;
use crate::routes;
use crate::service;
use crate::slots;
use crate::tally;
use crate::throttle;
use crate::tls;

/// Delay before the next attempt after a connection could not be accepted, for
/// example because the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Interval between attempts to close an idle connection while all are taken.
const SLOT_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Minimum time between two log lines about refused connections.
const REFUSAL_LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Listener for the connections of callers.
pub struct Server {
    address: net::SocketAddr,
    shared: sync::Arc<connection::Shared>,
    slots: sync::Arc<slots::Slots>,
    stopped: watch::Sender<bool>,
    accept_task: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Starts a listener that parses requests and passes them to `service`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the certificate cannot be used.
    pub async fn start(
        listen: net::SocketAddr,
        options: options::Options,
        service: sync::Arc<dyn service::Service>,
    ) -> io::Result<Self> {
        let tls = acceptor(&options)?;
        let slots = slots::Slots::new(&options);
        let state = routes::State {
            service,
            options: sync::Arc::new(options),
        };
        Self::listen(listen, connection::Shared::new(state, tls), slots).await
    }

    /// Starts a listener that passes whole requests to `handler`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the certificate cannot be used.
    pub async fn start_with_handler(
        listen: net::SocketAddr,
        options: options::Options,
        handler: sync::Arc<dyn handler::Handler>,
    ) -> io::Result<Self> {
        let tls = acceptor(&options)?;
        let slots = slots::Slots::new(&options);
        let shared = connection::Shared::with_handler(options, handler, tls);
        Self::listen(listen, shared, slots).await
    }

    async fn listen(
        listen: net::SocketAddr,
        shared: connection::Shared,
        slots: slots::Slots,
    ) -> io::Result<Self> {
        let listener = tokio::net::TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (stopped, stopped_receiver) = watch::channel(false);
        let slots = sync::Arc::new(slots);
        let shared = sync::Arc::new(shared);
        let listener = Listener {
            listener,
            shared: shared.clone(),
            slots: slots.clone(),
            throttle: throttle::Throttle::default(),
            wait_ends: None,
        };
        let accept_task = tokio::spawn(listener.accept(stopped_receiver));
        Ok(Self {
            address,
            shared,
            slots,
            stopped,
            accept_task,
        })
    }

    /// Returns the bound address, with the port that was assigned for port 0.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the connection counts since the start.
    pub fn counters(&self) -> counters::Counters {
        self.shared.counters.snapshot(self.slots.open() as u64)
    }

    /// Replaces the limits that are applied to requests and connections. The limits
    /// on the number of connections and streams, and the body limits of a listener
    /// that parses requests, stay as they were at the start.
    pub fn set_options(&self, options: options::Options) {
        self.shared.set_options(options);
    }

    /// Stops accepting connections and waits until the requests in flight are
    /// complete and all connections are closed.
    pub async fn shutdown(self) {
        self.stopped.send_replace(true);
        if self.accept_task.await.is_err() {
            log::error!(target: "front", "the task that accepts connections panicked");
        }
    }
}

fn acceptor(options: &options::Options) -> io::Result<Option<tls::Acceptor>> {
    let invalid = |cause| io::Error::new(io::ErrorKind::InvalidInput, cause);
    let tls = options.tls.clone().map(tls::Acceptor::new);
    tls.transpose().map_err(invalid)
}

struct Listener {
    listener: tokio::net::TcpListener,
    shared: sync::Arc<connection::Shared>,
    slots: sync::Arc<slots::Slots>,
    throttle: throttle::Throttle,
    /// When to refuse connections while all are taken; `None` if the last one got a slot.
    wait_ends: Option<Instant>,
}

impl Listener {
    async fn accept(mut self, mut stopped: watch::Receiver<bool>) {
        let connections = task::TaskTracker::new();
        loop {
            let accepted = tokio::select! {
                // Connections that are complete when the listener stops are served.
                biased;
                accepted = self.listener.accept() => accepted,
                () = connection::wait_for_stop(&mut stopped) => break,
            };
            let (stream, remote) = match accepted {
                Ok(pair) => pair,
                Err(cause) => {
                    log::warn!(
                        target: "front",
                        "a connection cannot be accepted; retrying in {} ms: {cause}",
                        ACCEPT_RETRY_DELAY.as_millis()
                    );
                    if *stopped.borrow() {
                        break;
                    }
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let memory = self.shared.memory();
            let holder = memory.open(remote.ip());
            let slot = self.wait_for_slot(&memory, remote.ip(), holder.key(), &stopped);
            let slot = match slot.await {
                Ok(slot) => slot,
                Err(limit) => {
                    self.record_refusal(remote, limit);
                    continue;
                }
            };
            let buffers = match buffers::Buffers::new(holder.clone()) {
                Ok(buffers) => sync::Arc::new(buffers),
                Err(full) => {
                    memory.record(full.into(), remote.ip());
                    continue;
                }
            };
            let shared = self.shared.clone();
            let serving = connection::serve(shared, stream, remote, buffers, stopped.clone());
            connections.spawn(async move {
                tokio::select! {
                    biased;
                    () = holder.wait_for_cut() => {
                        holder.record_refusal(tally::Reason::ConnectionCut);
                    }
                    () = serving => {}
                }
                drop(slot);
            });
        }
        drop(self.listener);
        connections.close();
        connections.wait().await;
    }

    /// Acquires a slot. While all are taken, but some connections wait for their callers,
    /// further ones wait in the queue of the system for the time that the options allow,
    /// until one has been idle for long enough to be closed.
    async fn wait_for_slot(
        &mut self,
        memory: &memory::Memory,
        address: net::IpAddr,
        key: account::Key,
        stopped: &watch::Receiver<bool>,
    ) -> Result<slots::Slot, slots::Limit> {
        loop {
            let limit = match self.slots.acquire(memory, address, key) {
                Ok(slot) => {
                    self.wait_ends = None;
                    return Ok(slot);
                }
                Err(limit) => limit,
            };
            if limit == slots::Limit::Address {
                return Err(limit);
            }
            let now = Instant::now();
            let ends = *self.wait_ends.get_or_insert(now + self.shared.slot_wait());
            if now >= ends || *stopped.borrow() || !self.slots.may_free(memory) {
                return Err(limit);
            }
            let freed = self.slots.wait_for_free();
            // Connections become idle without a notification.
            drop(tokio::time::timeout(SLOT_RETRY_INTERVAL, freed).await);
        }
    }

    fn record_refusal(&mut self, remote: net::SocketAddr, limit: slots::Limit) {
        let counters = &self.shared.counters;
        counters::increment(match limit {
            slots::Limit::All => &counters.refused_all,
            slots::Limit::Address => &counters.refused_address,
        });
        let now = std::time::Instant::now();
        if let Some(count) = self.throttle.record(now, REFUSAL_LOG_INTERVAL) {
            log::warn!(
                target: "front",
                "connection of {remote} refused: {limit}; \
                 {count} connections refused since the last such message"
            );
        }
    }
}
