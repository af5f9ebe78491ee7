use core::hash::BuildHasher;
use core::time;

use rustc_hash::{FxBuildHasher, FxHashMap};

/// Number of the crashes of an endpoint and the time of the last one.
#[derive(Clone, Copy, Debug)]
struct Crashes {
    count: u64,
    at: time::Duration,
}

/// Leading parts of prompts that were in flight at crashes of endpoints.
///
/// Requests that share a part may be different in everything else, so the verdict on
/// whole requests does not stop them.
#[derive(Debug, Default)]
pub(crate) struct Parts {
    quarantine: route::parts::Quarantine,
    /// Crashes by the number of the endpoint.
    crashes: FxHashMap<u64, Crashes>,
}

impl Parts {
    /// Records that an endpoint crashed under a request with this part; 0 stands for no
    /// part.
    pub(crate) fn record_crash(
        &mut self,
        now: time::Duration,
        part: u64,
        request: u64,
        endpoint: u64,
    ) {
        let parts = self.quarantine.suspicious(now, &[part]);
        if part == 0 || parts.is_empty() {
            return;
        }
        let crashes = self
            .crashes
            .entry(endpoint)
            .or_insert(Crashes { count: 0, at: now });
        if now.saturating_sub(crashes.at) >= SAME_CRASH_TIME {
            crashes.count += 1;
            crashes.at = now;
        }
        // Each start of an endpoint counts as another endpoint.
        let start = FxBuildHasher.hash_one((endpoint, crashes.count));
        self.quarantine.record(
            now,
            route::parts::Crash {
                endpoint: start,
                request,
                parts,
            },
        );
    }

    /// Records a complete answer to a request with this part.
    pub(crate) fn complete(&mut self, now: time::Duration, part: u64) {
        if part != 0 {
            self.quarantine.complete(now, [part]);
        }
    }

    /// Returns whether requests with this part are refused.
    pub(crate) fn is_poison(&self, part: u64) -> bool {
        self.quarantine.find_poison([part]).is_some()
    }

    /// Removes what no longer counts at `now`.
    pub(crate) fn evict_expired(&mut self, now: time::Duration) {
        self.quarantine.evict_expired(now);
        self.quarantine.take_changes();
        self.crashes
            .retain(|_, crashes| now.saturating_sub(crashes.at) < CRASHES_TIME);
    }
}

/// Longest time between reports of one crash. A host reports it when the request has
/// ended, which may be after more attempts.
const SAME_CRASH_TIME: time::Duration = time::Duration::from_secs(30);

/// Time for which crashes of an endpoint are told apart; they count for as long.
const CRASHES_TIME: time::Duration = time::Duration::from_secs(600);
