use std::sync;

use base::mutex;

use crate::host;

/// A run at an endpoint that counts as load until it ends. Dropping the guard
/// ends the run as cancelled.
#[derive(Debug)]
pub(crate) struct Guard {
    host: sync::Arc<host::Host>,
    run: Option<steer::Run>,
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
        }
    }

    /// Records the first event, or the head of a plain answer.
    pub(crate) fn record_first_event(&mut self) {
        if let Some(run) = &mut self.run {
            mutex::lock(&self.host.balancer).record_first_event(self.host.clock.now(), run);
        }
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
