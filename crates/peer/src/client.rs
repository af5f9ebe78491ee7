//! Connecting side of links.

mod calls;
mod command;
mod connection;
mod link;
mod options;
mod pulse;
mod report;
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

/// What all links of a client share.
struct Shared {
    options: Options,
    counters: sync::Arc<counters::Counters>,
    limiter: limiter::Limiter,
    /// Links with a task, open or not.
    links: sync::Mutex<collections::HashMap<net::SocketAddr, Handle>>,
}

/// Way to the task of a link.
struct Handle {
    commands: mpsc::UnboundedSender<command::Command>,
    queued: sync::Arc<atomic::AtomicUsize>,
}

struct Inner {
    shared: sync::Arc<Shared>,
    workers: Vec<worker::Worker>,
    next: atomic::AtomicUsize,
}

/// Calls other hosts.
///
/// There is one link per address. It is opened by the first call, and closed
/// when it was idle for a while. Clones share the links.
#[derive(Clone)]
pub struct Client(sync::Arc<Inner>);

impl Client {
    /// Starts a client.
    ///
    /// # Errors
    ///
    /// Reports that a thread cannot be started.
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
            next: atomic::AtomicUsize::new(0),
        })))
    }

    /// Returns the counters.
    pub fn counters(&self) -> &counters::Counters {
        &self.0.shared.counters
    }

    /// Queues a request at its home host and waits for the grant or refusal.
    ///
    /// Dropping the future cancels the ask at the home host, granted or not.
    /// The id must be unique within the lifetime of this process.
    ///
    /// # Errors
    ///
    /// Says whether the ask may have been sent. After `Lost` the client itself
    /// cancels the ask at the home host as soon as it reaches it again.
    pub async fn ask(
        &self,
        address: net::SocketAddr,
        ask: wire::Ask,
    ) -> Result<wire::Reply, error::Error> {
        let mut guard = Guard {
            client: self,
            address,
            id: ask.id,
            armed: true,
        };
        let (reply, answer) = oneshot::channel();
        let ask = Box::new(ask);
        self.send(address, command::Command::Ask { ask, reply });
        let answer = wait(answer).await;
        guard.armed = false;
        answer
    }

    /// Runs a non-idempotent request at the host that may dispatch it.
    ///
    /// Dropping the future does not stop a run that was sent.
    ///
    /// # Errors
    ///
    /// Says whether the run may have been sent.
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

    /// Reads the configuration files that differ from those that are known.
    ///
    /// # Errors
    ///
    /// Reports that the host did not answer.
    pub async fn fetch(
        &self,
        address: net::SocketAddr,
        fetch: wire::Fetch,
    ) -> Result<wire::Files, error::Error> {
        let (reply, answer) = oneshot::channel();
        self.send(address, command::Command::Fetch { fetch, reply });
        wait(answer).await
    }

    /// Gives an ask or a grant back. The ask itself ends with `Lost`.
    pub fn cancel(&self, address: net::SocketAddr, id: u64) {
        self.report(address, report::Report::Cancel(id));
    }

    /// Reports the first output of a granted ask.
    pub fn report_first_output(&self, address: net::SocketAddr, id: u64) {
        self.report(address, report::Report::First(id));
    }

    /// Reports the end of a granted ask.
    pub fn report_done(&self, address: net::SocketAddr, done: wire::Done) {
        self.report(address, report::Report::Done(done));
    }

    /// Reports a request that was in flight when an endpoint crashed.
    pub fn report_crash(&self, address: net::SocketAddr, crash: wire::Crash) {
        self.report(address, report::Report::Crash(crash));
    }

    /// Tells every host with a link that this host is leaving.
    pub fn leave(&self) {
        let addresses: Vec<net::SocketAddr> = self.0.shared.lock().keys().copied().collect();
        for address in addresses {
            self.report(address, report::Report::Leave);
        }
    }

    fn report(&self, address: net::SocketAddr, report: report::Report) {
        self.send(address, command::Command::Report(report));
    }

    /// Hands a command to the task of the link and starts it if there is none.
    fn send(&self, address: net::SocketAddr, command: command::Command) {
        let shared = &self.0.shared;
        let mut links = shared.lock();
        let handle = links.entry(address).or_insert_with(|| self.open(address));
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

    fn open(&self, address: net::SocketAddr) -> Handle {
        let inner = &self.0;
        let (commands, receiver) = mpsc::unbounded_channel();
        let queued = sync::Arc::new(atomic::AtomicUsize::new(0));
        let turn = inner.next.fetch_add(1, atomic::Ordering::Relaxed);
        let worker = &inner.workers[turn % inner.workers.len()];
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

    /// Forgets an idle link unless a command has come meanwhile.
    fn forget(&self, address: net::SocketAddr, queue: &command::Queue) -> bool {
        let mut links = self.lock();
        if !queue.is_empty() {
            return false;
        }
        links.remove(&address);
        true
    }
}

/// Cancels an ask when its future is dropped.
struct Guard<'a> {
    client: &'a Client,
    address: net::SocketAddr,
    id: u64,
    armed: bool,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.client.cancel(self.address, self.id);
        }
    }
}

/// Waits for an answer. A task that ends without one may have sent the call.
async fn wait<T>(answer: oneshot::Receiver<Result<T, error::Error>>) -> Result<T, error::Error> {
    answer
        .await
        .unwrap_or(Err(error::Error::Lost(cause::Cause::Stopped)))
}
