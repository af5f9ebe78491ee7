use core::time;
use std::sync;

use base::mutex;

use crate::host;

/// A run at an endpoint that counts as load until it ends. Dropping the guard
/// ends the run as cancelled.
#[derive(Debug)]
pub(crate) struct Guard {
    host: sync::Arc<host::Host>,
    run: Option<steer::Run>,
    /// When the first event or the head of a plain answer arrived, since the start of
    /// the process.
    begun: Option<time::Duration>,
}

impl Guard {
    /// Records the start of a run at the picked endpoint.
    pub(crate) fn start(
        host: &sync::Arc<host::Host>,
        pick: &steer::Pick,
        work: &steer::Work,
    ) -> Self {
        let run = mutex::lock(&host.balancer).start(host.clock.now(), pick, work);
        Self {
            host: host.clone(),
            run: Some(run),
            begun: None,
        }
    }

    /// Records the first event, or the head of a plain answer.
    pub(crate) fn record_first_event(&mut self) {
        let now = self.host.clock.now();
        self.begun.get_or_insert(now);
        if let Some(run) = &mut self.run {
            mutex::lock(&self.host.balancer).record_first_event(now, run);
        }
    }

    /// Returns when the request was sent, since the start of the process.
    pub(crate) fn sent(&self) -> time::Duration {
        self.run
            .as_ref()
            .map_or(time::Duration::ZERO, |run| run.sent)
    }

    /// Returns for how long the answer has been arriving, or `None` before its first
    /// event.
    pub(crate) fn answering(&self) -> Option<time::Duration> {
        let now = self.host.clock.now();
        self.begun.map(|begun| now.saturating_sub(begun))
    }

    /// Ends the run.
    pub(crate) fn end(mut self, end: steer::End) {
        self.finish(end);
    }

    fn finish(&mut self, end: steer::End) {
        if let Some(run) = self.run.take() {
            mutex::lock(&self.host.balancer).finish(self.host.clock.now(), run, end);
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.finish(steer::End::Cancelled);
    }
}
