use std::collections;
use std::sync;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Places for connections to one endpoint, by its host and port.
#[derive(Debug)]
pub(crate) struct Slots {
    all: sync::Arc<Semaphore>,
    endpoint_max: usize,
    by_endpoint: sync::Mutex<collections::HashMap<String, sync::Arc<Semaphore>>>,
}

/// The right to one open connection, given back on drop.
#[derive(Debug)]
pub(crate) struct Slot {
    _all: OwnedSemaphorePermit,
    _endpoint: OwnedSemaphorePermit,
}

impl Slots {
    /// Returns places with an upper bound for each endpoint below a bound that
    /// is shared with others.
    pub(crate) fn new(all: sync::Arc<Semaphore>, endpoint_max: usize) -> Self {
        Self {
            all,
            endpoint_max: endpoint_max.min(Semaphore::MAX_PERMITS),
            by_endpoint: sync::Mutex::default(),
        }
    }

    /// Waits for a place for a connection to this endpoint.
    ///
    /// # Errors
    ///
    /// Fails if a semaphore is closed, which nothing does.
    pub(crate) async fn take(&self, endpoint: &str) -> Result<Slot, tokio::sync::AcquireError> {
        // The endpoint's place first: waiting for it must not hold one of all.
        let endpoint = self.of(endpoint).acquire_owned().await?;
        let all = self.all.clone().acquire_owned().await?;
        Ok(Slot {
            _all: all,
            _endpoint: endpoint,
        })
    }

    fn of(&self, endpoint: &str) -> sync::Arc<Semaphore> {
        let mut by_endpoint = self
            .by_endpoint
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if let Some(slots) = by_endpoint.get(endpoint) {
            return slots.clone();
        }
        // Endpoints come and go; those without a connection are forgotten.
        by_endpoint.retain(|_, slots| sync::Arc::strong_count(slots) > 1);
        let slots = sync::Arc::new(Semaphore::new(self.endpoint_max));
        by_endpoint.insert(endpoint.to_owned(), slots.clone());
        slots
    }
}
