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

    /// Records the first event, or the head of a plain answer, of a request of a service
    /// that was expected after this time.
    pub(crate) fn record_first_event(&mut self, service: &str, expected_ms: f64) {
        let now = self.host.clock.now();
        let is_first = self.begun.is_none();
        self.begun.get_or_insert(now);
        let Some(run) = &mut self.run else {
            return;
        };
        mutex::lock(&self.host.balancer).record_first_event(now, run);
        if is_first {
            let took_ms = now.saturating_sub(run.sent).as_secs_f64() * 1_000.0;
            let error_ms = (took_ms - expected_ms).abs();
            let error = time::Duration::try_from_secs_f64(error_ms / 1_000.0);
            let error = error.unwrap_or(time::Duration::MAX);
            let tags = [("service", service)];
            self.host.metrics.time("prediction_error_ms", &tags, error);
        }
    }

    /// Records that this number of events arrived together after the first ones.
    pub(crate) fn record_events(&mut self, gap: time::Duration, events: u32) {
        let Some(run) = &mut self.run else {
            return;
        };
        // Most services do not learn rates and need no lock.
        if let Some(tokens) = run.event_tokens() {
            let tokens = tokens.saturating_mul(events);
            let now = self.host.clock.now();
            mutex::lock(&self.host.balancer).record_event(now, run, gap, tokens);
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
