//! Connecting side of links: calls, reports and the task of each link.

mod calls;
mod command;
mod connection;
mod link;
mod options;
mod report;
mod timer;
mod transfer;

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use tokio::sync::{mpsc, oneshot};

use crate::cause;
use crate::counters;
use crate::error;
use crate::limiter;
use crate::worker;

pub use options::Options;

/// State shared by all links of a client.
struct Shared {
    options: Options,
    counters: sync::Arc<counters::Counters>,
    limiter: limiter::Limiter,
    /// Links that have a task, whether connected or not.
    links: sync::Mutex<collections::HashMap<net::SocketAddr, Handle>>,
}

/// Sending end of the command queue of a link.
struct Handle {
    commands: mpsc::UnboundedSender<command::Command>,
    /// Length of the queue.
    queued: sync::Arc<atomic::AtomicUsize>,
}

struct Inner {
    shared: sync::Arc<Shared>,
    workers: Vec<worker::Worker>,
    /// Number of links started, which selects the worker of the next one.
    started: atomic::AtomicUsize,
}

/// Makes calls to other hosts.
///
/// There is one link per address. The first call opens it, and it is closed after
/// [`Options::idle_timeout`] without use. Clones share the links, which are closed
/// when the last clone is dropped.
#[derive(Clone)]
pub struct Client(sync::Arc<Inner>);

impl Client {
    /// Starts a client.
    ///
    /// # Errors
    ///
    /// Fails if a thread cannot be started.
    pub fn start(options: Options) -> io::Result<Self> {
        let workers = (0..options.threads.max(1))
            .map(|index| worker::Worker::start(&format!("peer-client-{index}")))
            .collect::<io::Result<Vec<_>>>()?;
        let shared = sync::Arc::new(Shared {
            options,
            counters: sync::Arc::default(),
            limiter: limiter::Limiter::default(),
            links: sync::Mutex::default(),
        });
        Ok(Self(sync::Arc::new(Inner {
            shared,
            workers,
            started: atomic::AtomicUsize::new(0),
        })))
    }

    /// Returns the counters of all links since the start of the client.
    pub fn counters(&self) -> &counters::Counters {
        &self.0.shared.counters
    }

    /// Queues a request at its home host and waits for the grant or refusal.
    ///
    /// Dropping the future cancels the ask at the home host, granted or not. The id
    /// of the ask must be unique within the lifetime of this process.
    ///
    /// # Errors
    ///
    /// Fails if the host cannot be reached or does not answer, or if the ask exceeds
    /// a limit; the variant states whether the ask may have been sent. After
    /// [`crate::Error::Lost`] the client cancels the ask at the home host as soon as
    /// it can reach it again.
    pub async fn ask(
        &self,
        address: net::SocketAddr,
        ask: wire::Ask,
    ) -> Result<wire::Reply, error::Error> {
        let mut guard = CancelGuard {
            client: self,
            address,
            id: ask.id,
            is_armed: true,
        };
        let (reply, answer) = oneshot::channel();
        let ask = Box::new(ask);
        self.send(address, command::Command::Ask { ask, reply });
        let answer = wait(answer).await;
        guard.is_armed = false;
        answer
    }

    /// Runs a non-idempotent request at the host that owns its idempotency key.
    ///
    /// Dropping the future does not stop a run that was sent.
    ///
    /// # Errors
    ///
    /// Fails if the host cannot be reached or does not answer, or if the run exceeds
    /// a limit; the variant states whether the run may have been sent.
    pub async fn run(
        &self,
        address: net::SocketAddr,
        run: wire::Run,
    ) -> Result<wire::Outcome, error::Error> {
        let (reply, answer) = oneshot::channel();
        let run = Box::new(run);
        self.send(address, command::Command::Run { run, reply });
        wait(answer).await
    }

    /// Fetches the configuration files that differ from those listed in `fetch`.
    ///
    /// # Errors
    ///
    /// Fails if the host cannot be reached or does not answer, or if the call exceeds
    /// a limit.
    pub async fn fetch(
        &self,
        address: net::SocketAddr,
        fetch: wire::Fetch,
    ) -> Result<wire::Files, error::Error> {
        let (reply, answer) = oneshot::channel();
        self.send(address, command::Command::Fetch { fetch, reply });
        wait(answer).await
    }

    /// Cancels an ask or returns its grant. A pending call of [`Client::ask`] with
    /// this id fails with [`crate::Error::Lost`].
    pub fn cancel(&self, address: net::SocketAddr, id: u64) {
        self.report(address, report::Report::Cancel(id));
    }

    /// Reports the first output of a granted ask to its home host.
    pub fn report_first_output(&self, address: net::SocketAddr, id: u64) {
        self.report(address, report::Report::FirstOutput(id));
    }

    /// Reports the end of a granted ask to its home host.
    pub fn report_done(&self, address: net::SocketAddr, done: wire::Done) {
        self.report(address, report::Report::Done(done));
    }

    /// Reports a request that was in flight when an endpoint crashed.
    pub fn report_crash(&self, address: net::SocketAddr, crash: wire::Crash) {
        self.report(address, report::Report::Crash(crash));
    }

    /// Reports to every host with a link that this host is leaving.
    pub fn leave(&self) {
        let addresses: Vec<net::SocketAddr> = self.0.shared.lock().keys().copied().collect();
        for address in addresses {
            self.report(address, report::Report::Leave);
        }
    }

    fn report(&self, address: net::SocketAddr, report: report::Report) {
        self.send(address, command::Command::Report(report));
    }

    /// Queues a command for the task of the link, which is started if there is none.
    fn send(&self, address: net::SocketAddr, command: command::Command) {
        let shared = &self.0.shared;
        let mut links = shared.lock();
        let handle = links
            .entry(address)
            .or_insert_with(|| self.start_link(address));
        let queued = handle.queued.load(atomic::Ordering::Relaxed);
        if queued >= command.queue_max(shared.options.queue_max) {
            drop(links);
            command.refuse(&shared.counters, cause::Cause::Full);
            return;
        }
        handle.queued.fetch_add(1, atomic::Ordering::Relaxed);
        if let Err(unsent) = handle.commands.send(command) {
            links.remove(&address);
            drop(links);
            unsent.0.refuse(&shared.counters, cause::Cause::Stopped);
        }
    }

    fn start_link(&self, address: net::SocketAddr) -> Handle {
        let inner = &self.0;
        let (commands, receiver) = mpsc::unbounded_channel();
        let queued = sync::Arc::new(atomic::AtomicUsize::new(0));
        let started = inner.started.fetch_add(1, atomic::Ordering::Relaxed);
        let worker = &inner.workers[started % inner.workers.len()];
        let queue = command::Queue::new(receiver, queued.clone());
        let shared = inner.shared.clone();
        worker.spawn(move || link::serve(shared, address, queue));
        Handle { commands, queued }
    }
}

impl Shared {
    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<net::SocketAddr, Handle>> {
        self.links
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Removes an idle link unless a command was queued in the meantime. Returns
    /// whether it was removed.
    fn remove_idle(&self, address: net::SocketAddr, queue: &command::Queue) -> bool {
        let mut links = self.lock();
        if !queue.is_empty() {
            return false;
        }
        links.remove(&address);
        true
    }
}

/// Cancels an ask if its future is dropped before the answer.
struct CancelGuard<'a> {
    client: &'a Client,
    address: net::SocketAddr,
    id: u64,
    is_armed: bool,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            self.client.cancel(self.address, self.id);
        }
    }
}

/// Waits for an answer. A link task that ends without one may have sent the call.
async fn wait<T>(answer: oneshot::Receiver<Result<T, error::Error>>) -> Result<T, error::Error> {
    answer
        .await
        .unwrap_or(Err(error::Error::Lost(cause::Cause::Stopped)))
}
