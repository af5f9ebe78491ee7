use std::io;
use std::net;
use std::sync;

use crate::engine::batch;
use crate::engine::counters;
use crate::engine::options;
use crate::engine::routes;
use crate::server;
use crate::sync::lock;

/// Running engine, which stops when the handle is dropped.
pub struct Handle {
    batch: sync::Arc<batch::Batch>,
    server: sync::Arc<server::Server>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Handle {
    pub(crate) fn start(options: options::Options) -> io::Result<Self> {
        let batch = sync::Arc::new(batch::Batch::new(options));
        let router = routes::router(sync::Arc::clone(&batch));
        let server = sync::Arc::new(server::Server::start(router)?);
        let steps = sync::Arc::clone(&batch);
        let steps = tokio::spawn(async move { steps.run().await });
        let crashes = tokio::spawn(handle_crashes(
            sync::Arc::clone(&batch),
            sync::Arc::clone(&server),
        ));
        Ok(Self {
            batch,
            server,
            tasks: vec![steps, crashes],
        })
    }

    /// Returns the listen address, which stays the same after a crash.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Returns the counts since the start.
    pub fn counters(&self) -> counters::Counters {
        *lock(&self.batch.counters)
    }

    /// Returns the tag of each execution, in the order in which the requests entered the batch.
    pub fn runs(&self) -> Vec<String> {
        self.batch.runs()
    }

    /// Returns the number of requests that are queued for a slot.
    pub fn waiting(&self) -> usize {
        self.batch.waiting()
    }

    /// Multiplies the duration of each later step by `factor`, in addition to the scripted
    /// slowdowns; 1 restores the configured duration.
    pub fn set_slowdown(&self, factor: f64) {
        self.batch.set_slowdown(factor);
    }

    /// Refuses new requests and finishes the queued and running ones.
    pub fn drain(&self) {
        self.batch.drain();
    }

    /// Drops all requests and closes all connections and the listener until
    /// [`Handle::restart`].
    pub fn crash(&self) {
        self.batch.crash();
        self.server.close();
    }

    /// Reopens the listener on the same port after a crash.
    ///
    /// # Errors
    ///
    /// Returns an error if the port cannot be bound again within two seconds.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.open().await
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        self.server.close();
    }
}

/// Closes the server after a crash that a request caused, and reopens it after the
/// configured delay.
async fn handle_crashes(batch: sync::Arc<batch::Batch>, server: sync::Arc<server::Server>) {
    loop {
        batch.crashed.notified().await;
        server.close();
        let crash = batch.options.crash.as_ref();
        let Some(delay) = crash.and_then(|crash| crash.restart_after) else {
            continue;
        };
        tokio::time::sleep(delay).await;
        if let Err(error) = server.open().await {
            log::warn!("testkit: engine cannot reopen its port after a crash: {error}");
        }
    }
}
