use std::collections;
use std::sync;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Connection limits, for each endpoint (by its host and port) and for all
/// endpoints together.
#[derive(Debug)]
pub(crate) struct Slots {
    all: sync::Arc<Semaphore>,
    endpoint_max: usize,
    by_endpoint: sync::Mutex<collections::HashMap<String, sync::Arc<Semaphore>>>,
}

/// Permit for one open connection, released on drop.
#[derive(Debug)]
pub(crate) struct Slot {
    _all: OwnedSemaphorePermit,
    _endpoint: OwnedSemaphorePermit,
}

impl Slots {
    /// Creates slots that allow `endpoint_max` connections to each endpoint and
    /// take a permit of `all` for each, which other slots share.
    pub(crate) fn new(all: sync::Arc<Semaphore>, endpoint_max: usize) -> Self {
        Self {
            all,
            endpoint_max: endpoint_max.min(Semaphore::MAX_PERMITS),
            by_endpoint: sync::Mutex::default(),
        }
    }

    /// Waits for a slot for a connection to `endpoint`.
    ///
    /// # Errors
    ///
    /// Fails if a semaphore is closed, which never happens.
    pub(crate) async fn acquire(&self, endpoint: &str) -> Result<Slot, tokio::sync::AcquireError> {
        // The permit of the endpoint is acquired first, so that a request that
        // waits for it does not hold a permit of all endpoints.
        let endpoint = self.semaphore(endpoint).acquire_owned().await?;
        let all = self.all.clone().acquire_owned().await?;
        Ok(Slot {
            _all: all,
            _endpoint: endpoint,
        })
    }

    fn semaphore(&self, endpoint: &str) -> sync::Arc<Semaphore> {
        let mut by_endpoint = self
            .by_endpoint
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if let Some(semaphore) = by_endpoint.get(endpoint) {
            return semaphore.clone();
        }
        // Removes the entries of endpoints without connections, so that the map
        // does not grow as endpoints are replaced.
        by_endpoint.retain(|_, semaphore| sync::Arc::strong_count(semaphore) > 1);
        let semaphore = sync::Arc::new(Semaphore::new(self.endpoint_max));
        by_endpoint.insert(endpoint.to_owned(), semaphore.clone());
        semaphore
    }
}
