use core::time;
use std::sync::atomic;

use base::mutex;

use crate::host;

/// Time for which a leaving host accepts connections, so that callers that
/// still hold its address are served.
const ACCEPT_TIME: time::Duration = time::Duration::from_millis(2_000);

/// Time before the end of the process at which the rest is given up.
const STOP_MARGIN: time::Duration = time::Duration::from_millis(400);

impl host::Host {
    /// Stops: the host is no longer listed, serves what it has and what still
    /// arrives for a while, and returns when all is answered or the time is
    /// over.
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
            log::warn!(target: "edge", "stopped with open requests: the time is over");
        }
        log::info!(target: "edge", "stopped");
    }
}
