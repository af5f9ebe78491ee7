//! Answers to other hosts that take a slow link some time.

use core::convert;
use core::time;
use std::net;
use std::sync;

use base::mutex;
use bytes::Bytes;
use futures_util::stream;

use crate::host;
use crate::snapshot;

/// Bytes of changes from which a state counts as large.
const CHANGES_BYTES: usize = 32 * 1024;

/// Routes and keys from which a whole configuration counts as large.
const ITEMS: usize = 300;

/// Time for which a host that asks waits until another transfer ends.
const WAIT: time::Duration = time::Duration::from_millis(100);

/// Time after which a transfer to a host that may be gone does not count any more.
const LENGTH_MAX: time::Duration = time::Duration::from_secs(2);

/// Bytes of the body that are passed on at once.
const PIECE_BYTES: usize = 16 * 1024;

/// Most hosts that a busy one names.
const HOLDERS_MAX: usize = 8;

/// Answer of a host whose link is busy with transfers to others.
#[derive(Debug, serde::Deserialize, serde::Serialize)]
pub(crate) struct Busy {
    /// Version of its configuration.
    pub(crate) plan: plan::Version,
    /// Other hosts that have it.
    pub(crate) holders: Vec<net::SocketAddr>,
}

/// A transfer that keeps others waiting until it is dropped, or too long.
pub(crate) struct Transfer {
    permit: sync::Arc<sync::Mutex<Option<tokio::sync::OwnedSemaphorePermit>>>,
}

impl Drop for Transfer {
    fn drop(&mut self) {
        mutex::lock(&self.permit).take();
    }
}

impl Transfer {
    fn new(permit: tokio::sync::OwnedSemaphorePermit) -> Self {
        let permit = sync::Arc::new(sync::Mutex::new(Some(permit)));
        let late = permit.clone();
        tokio::spawn(async move {
            tokio::time::sleep(LENGTH_MAX).await;
            mutex::lock(&late).take();
        });
        Self { permit }
    }

    /// Returns the body of an answer that ends the transfer, and then calls `finish`.
    pub(crate) fn body(
        self,
        bytes: Vec<u8>,
        finish: impl FnOnce() + Send + 'static,
    ) -> axum::body::Body {
        let state = (Bytes::from(bytes), Some(finish), self);
        let pieces = stream::unfold(state, async |(mut left, mut finish, transfer)| {
            if left.is_empty() {
                if let Some(finish) = finish.take() {
                    finish();
                }
                return None;
            }
            let piece = left.split_to(left.len().min(PIECE_BYTES));
            Some((
                Ok::<_, convert::Infallible>(piece),
                (left, finish, transfer),
            ))
        });
        axum::body::Body::from_stream(pieces)
    }
}

impl host::Host {
    /// Returns whether the state for a host that has `known` is large. Hosts of earlier
    /// builds do not understand that this one is busy, so theirs never is.
    pub(crate) fn is_bulk(&self, known: snapshot::Known) -> bool {
        let table = self.table.load();
        let Some(table) = table.as_ref().filter(|_| known.endpoints.is_some()) else {
            return false;
        };
        let plan = table.plan();
        if plan.version() <= known.version {
            return false;
        }
        let changes = mutex::lock(&self.history).between(known.version, plan.version());
        match changes {
            Some(changes) => changes.iter().map(Bytes::len).sum::<usize>() > CHANGES_BYTES,
            None => {
                let keys = plan.teams.iter().map(|team| team.keys.len());
                plan.routes.len() + keys.sum::<usize>() > ITEMS
            }
        }
    }

    /// Begins a large transfer.
    ///
    /// # Errors
    ///
    /// Fails after a short wait if as many others as the link bears are under way.
    pub(crate) async fn begin_bulk(&self) -> Result<Transfer, Busy> {
        let waiting = self.transfers.clone().acquire_owned();
        // The semaphore is never closed.
        if let Ok(Ok(permit)) = tokio::time::timeout(WAIT, waiting).await {
            return Ok(Transfer::new(permit));
        }
        let plan = self.plan_version();
        let rng = &mut *mutex::lock(&self.rng);
        let holders = mutex::lock(&self.sources).holders(plan, HOLDERS_MAX, rng);
        Err(Busy { plan, holders })
    }

    /// Returns the address at which the host with this IP address serves its state.
    pub(crate) fn peer_at(&self, ip: net::IpAddr) -> net::SocketAddr {
        net::SocketAddr::new(ip, self.options.peer_listen.port())
    }
}
