use core::pin;
use core::time;
use std::sync::atomic;

use base::mutex;

use crate::host;

/// Time for which a host that shuts down accepts connections, so that callers
/// that still have its address are served.
const ACCEPT_TIME: time::Duration = time::Duration::from_millis(2_000);

/// Time before the shutdown time-out at which the host stops waiting for open
/// requests and refuses them.
const STOP_MARGIN: time::Duration = time::Duration::from_millis(400);

/// Pause between two looks at the requests of other hosts.
const FORWARD_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Time for the refusals to be sent.
const REFUSAL_TIME: time::Duration = time::Duration::from_millis(200);

impl host::Host {
    /// Shuts the host down gracefully. It is no longer listed for callers, but
    /// accepts requests for another 2 s and finishes the open ones. Returns when
    /// all are answered, or shortly before
    /// [`Options::stop_timeout`](crate::Options::stop_timeout) has passed. Requests
    /// whose answer has not begun by then are refused.
    pub async fn stop(&self) {
        let start = tokio::time::Instant::now();
        self.is_leaving.store(true, atomic::Ordering::Release);
        mutex::lock(&self.membership).set_leaving();
        log::info!(target: "edge", "leaving: finishing open requests");
        tokio::time::sleep(ACCEPT_TIME).await;
        let server = mutex::lock(&self.server).take();
        let Some(server) = server else { return };
        let end = start + self.options.stop_timeout.saturating_sub(STOP_MARGIN);
        let mut shutdown = pin::pin!(server.shutdown());
        if tokio::time::timeout_at(end, shutdown.as_mut())
            .await
            .is_err()
        {
            log::warn!(target: "edge", "stopped with open requests: the shutdown time-out has passed");
            self.closing.send_replace(true);
            // Answers that have begun cannot be refused; those are cut.
            drop(tokio::time::timeout(REFUSAL_TIME, shutdown).await);
        }
        // Answers on their way to other hosts.
        while self.forwarding_count() > 0 && tokio::time::Instant::now() < end {
            tokio::time::sleep(FORWARD_PAUSE).await;
        }
        log::info!(target: "edge", "stopped");
    }

    /// Waits until the requests whose answer has not begun are to be refused.
    pub(crate) async fn wait_for_closing(&self) {
        let mut receiver = self.closing.subscribe();
        // The sender lives as long as the host.
        drop(receiver.wait_for(|&is_set| is_set).await);
    }
}
