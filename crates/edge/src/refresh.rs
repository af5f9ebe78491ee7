use core::time;
use std::sync::atomic;

use crate::host;

/// Longest wait for an answer of the platform on which a caller waits.
const TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// Requests of this host for the newest list of endpoints.
#[derive(Debug, Default)]
pub(crate) struct Refresh {
    wanted: tokio::sync::Notify,
    /// Whether the program serves the requests.
    is_served: atomic::AtomicBool,
    /// Start of the last answered call, since the start of the process.
    answered: tokio::sync::watch::Sender<time::Duration>,
}

impl host::Host {
    /// Waits until the newest list of endpoints is needed. The program then reads the
    /// platform and calls [`Host::confirm_refresh`](Self::confirm_refresh).
    pub async fn refresh_wanted(&self) {
        self.refresh
            .is_served
            .store(true, atomic::Ordering::Release);
        self.refresh.wanted.notified().await;
    }

    /// Records that the endpoints in use include all changes up to the time, since the
    /// start of the process, at which a call of the platform began.
    pub fn confirm_refresh(&self, began: time::Duration) {
        self.confirm_endpoints();
        self.refresh.answered.send_if_modified(|answered| {
            let is_newer = began > *answered;
            *answered = began.max(*answered);
            is_newer
        });
    }

    /// Returns the time since the start of the process.
    pub fn now(&self) -> time::Duration {
        self.clock.now()
    }

    /// Lets the program read the newest list of endpoints. Returns whether it did so in
    /// time; calls at the same time share an answer.
    pub(crate) async fn refresh_endpoints(&self) -> bool {
        if !self.refresh.is_served.load(atomic::Ordering::Acquire) {
            return false;
        }
        let since = self.clock.now();
        let mut answered = self.refresh.answered.subscribe();
        self.refresh.wanted.notify_one();
        let answer = answered.wait_for(|began| *began >= since);
        let is_fresh = matches!(tokio::time::timeout(TIMEOUT, answer).await, Ok(Ok(_)));
        let result = if is_fresh { "fresh" } else { "unknown" };
        self.metrics
            .count("endpoint_refreshes", &[("result", result)]);
        is_fresh
    }
}
