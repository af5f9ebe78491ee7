use core::time;
use std::collections;

/// Recent course of an endpoint's own in-flight count.
///
/// A load report is compared with the count at the time at which it was true.
#[derive(Debug)]
pub(crate) struct History {
    steps: collections::VecDeque<(time::Duration, u32)>,
}

impl History {
    pub(crate) fn new() -> Self {
        Self {
            steps: collections::VecDeque::from([(time::Duration::ZERO, 0)]),
        }
    }

    pub(crate) fn push(&mut self, now: time::Duration, count: u32) {
        let several = self.steps.len() > 1;
        if let Some((at, last)) = self.steps.back_mut()
            && several
            && now.saturating_sub(*at) < RESOLUTION
        {
            *last = count;
            return;
        }
        self.steps.push_back((now, count));
        while self.steps.len() > 2 && self.steps[1].0 + MEMORY < now {
            self.steps.pop_front();
        }
    }

    /// Returns the count at `at`, or the oldest known one.
    pub(crate) fn at(&self, at: time::Duration) -> u32 {
        let after = self.steps.partition_point(|&(time, _)| time <= at);
        self.steps[after.saturating_sub(1)].1
    }
}

/// Changes closer together than this share one entry.
const RESOLUTION: time::Duration = time::Duration::from_millis(10);

/// Load reports older than this cannot be corrected.
const MEMORY: time::Duration = time::Duration::from_secs(5);
