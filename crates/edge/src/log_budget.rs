use core::time;
use std::sync;

use base::mutex;

/// Log lines per second for requests that were served.
const SUCCESS_LINES: f64 = 60.0;

/// Log lines per second for all requests.
const ALL_LINES: f64 = 300.0;

/// Seconds for which unused lines accumulate.
const BURST_S: f64 = 2.0;

#[derive(Debug)]
struct Bucket {
    rate: f64,
    level: f64,
    updated: time::Duration,
}

impl Bucket {
    const fn new(rate: f64) -> Self {
        Self {
            rate,
            level: rate * BURST_S,
            updated: time::Duration::ZERO,
        }
    }

    fn fill(&mut self, now: time::Duration) {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.level = (self.level + passed * self.rate).min(self.rate * BURST_S);
        self.updated = now;
    }
}

/// Token buckets that bound the log lines of requests.
#[derive(Debug)]
pub(crate) struct Budget(sync::Mutex<[Bucket; 2]>);

impl Default for Budget {
    fn default() -> Self {
        Self(sync::Mutex::new([
            Bucket::new(SUCCESS_LINES),
            Bucket::new(ALL_LINES),
        ]))
    }
}

impl Budget {
    /// Takes `count` lines for one request; returns whether enough were left.
    /// Served requests count against a smaller budget as well.
    pub(crate) fn take(&self, now: time::Duration, count: usize, is_success: bool) -> bool {
        let mut buckets = mutex::lock(&self.0);
        for bucket in &mut *buckets {
            bucket.fill(now);
        }
        let [success, all] = &mut *buckets;
        let count = count as f64;
        if all.level < count || (is_success && success.level < count) {
            return false;
        }
        all.level -= count;
        if is_success {
            success.level -= count;
        }
        true
    }
}
