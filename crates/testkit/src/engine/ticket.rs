use std::sync;
use std::sync::atomic::Ordering::Relaxed;

use tokio::sync::mpsc;

use crate::engine::batch;
use crate::engine::sequence::{Event, Progress};
use crate::sync::lock;

/// Handle of a queued or running request. Dropping it before [`Ticket::complete`] cancels
/// the request.
pub(crate) struct Ticket {
    pub(crate) batch: sync::Arc<batch::Batch>,
    pub(crate) priority: i64,
    pub(crate) serial: u64,
    pub(crate) progress: sync::Arc<Progress>,
    pub(crate) events: mpsc::UnboundedReceiver<Event>,
}

impl Ticket {
    /// Returns the next event, or `None` after a crash.
    pub(crate) async fn next(&mut self) -> Option<Event> {
        self.events.recv().await
    }

    /// Counts the request as completed.
    pub(crate) fn complete(&self) {
        if !self.progress.settled.swap(true, Relaxed) {
            lock(&self.batch.counters).completed += 1;
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.progress.settled.swap(true, Relaxed) {
            return;
        }
        let has_run = self.batch.cancel(self.priority, self.serial);
        let tokens = self.progress.tokens.load(Relaxed);
        let mut counters = lock(&self.batch.counters);
        if has_run {
            counters.wasted += u64::from(tokens);
            counters.cancelled += 1;
        } else {
            counters.withdrawn += 1;
        }
    }
}
