use core::time;
use std::sync::atomic;

use base::mutex;

use crate::host;

/// Time for which a host that shuts down accepts connections, so that callers
/// that still have its address are served.
const ACCEPT_TIME: time::Duration = time::Duration::from_millis(2_000);

/// Time before the shutdown time-out at which the host stops waiting for open
/// requests.
const STOP_MARGIN: time::Duration = time::Duration::from_millis(400);

impl host::Host {
    /// Shuts the host down gracefully. It is no longer listed for callers, but
    /// accepts requests for another 2 s and finishes the open ones. Returns when
    /// all are answered, or shortly before
    /// [`Options::stop_timeout`](crate::Options::stop_timeout) has passed.
    pub async fn stop(&self) {
        let start = tokio::time::Instant::now();
        self.is_leaving.store(true, atomic::Ordering::Release);
        mutex::lock(&self.membership).set_leaving();
        log::info!(target: "edge", "leaving: finishing open requests");
        tokio::time::sleep(ACCEPT_TIME).await;
        let server = mutex::lock(&self.server).take();
        let Some(server) = server else { return };
        let end = start + self.options.stop_timeout.saturating_sub(STOP_MARGIN);
        if tokio::time::timeout_at(end, server.shutdown())
            .await
            .is_err()
        {
            log::warn!(target: "edge", "stopped with open requests: the shutdown time-out has passed");
        }
        log::info!(target: "edge", "stopped");
    }
}
