use std::io;
use std::net;
use std::sync;

use crate::engine::batch;
use crate::engine::counters;
use crate::engine::options;
use crate::engine::routes;
use crate::server;
use crate::sync::lock;

/// A running engine. Dropping it stops the engine.
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
        let crashes = tokio::spawn(watch(sync::Arc::clone(&batch), sync::Arc::clone(&server)));
        Ok(Self {
            batch,
            server,
            tasks: vec![steps, crashes],
        })
    }

    /// Returns the address, which a crash does not change.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Returns the counts since the start.
    pub fn counters(&self) -> counters::Counters {
        *lock(&self.batch.counters)
    }

    /// Returns the tag of each execution in the order in which they entered the batch.
    pub fn runs(&self) -> Vec<String> {
        self.batch.runs()
    }

    /// Returns the number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.batch.waiting()
    }

    /// Makes every step take `factor` times as long; 1 is the usual pace.
    pub fn set_slowdown(&self, factor: f64) {
        self.batch.set_slowdown(factor);
    }

    /// Refuses new requests from now on and finishes those that are there.
    pub fn drain(&self) {
        self.batch.drain();
    }

    /// Cuts all connections and closes the listener until [`Handle::restart`].
    pub fn crash(&self) {
        self.batch.crash();
        self.server.close();
    }

    /// Listens on the same port again.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if the port cannot be bound again.
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

/// Carries out the crashes that requests cause.
async fn watch(batch: sync::Arc<batch::Batch>, server: sync::Arc<server::Server>) {
    loop {
        batch.crashed.notified().await;
        server.close();
        let back = batch.options.crash.as_ref();
        let Some(delay) = back.and_then(|crash| crash.restart_after) else {
            continue;
        };
        tokio::time::sleep(delay).await;
        if let Err(error) = server.open().await {
            log::warn!("testkit: cannot listen again: {error}");
        }
    }
}
