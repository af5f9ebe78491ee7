use core::time;
use std::collections;

/// Recent values of the number of own requests in flight at an endpoint.
///
/// A load report is compared with the number at the time to which the report
/// refers.
#[derive(Debug)]
pub(crate) struct History {
    /// Times of change with the number from then on; never empty.
    steps: collections::VecDeque<(time::Duration, u32)>,
}

impl History {
    pub(crate) fn new() -> Self {
        Self {
            steps: collections::VecDeque::from([(time::Duration::ZERO, 0)]),
        }
    }

    /// Records the number of requests from `now` on.
    pub(crate) fn record(&mut self, now: time::Duration, count: u32) {
        let has_several = self.steps.len() > 1;
        if let Some((at, last)) = self.steps.back_mut()
            && has_several
            && now.saturating_sub(*at) < RESOLUTION
        {
            *last = count;
            return;
        }
        self.steps.push_back((now, count));
        while self.steps.len() > 2 && self.steps[1].0 + RETENTION < now {
            self.steps.pop_front();
        }
    }

    /// Returns the number at the time `at`, or the oldest known one.
    pub(crate) fn at(&self, at: time::Duration) -> u32 {
        let after = self.steps.partition_point(|&(time, _)| time <= at);
        self.steps[after.saturating_sub(1)].1
    }
}

/// Changes closer together than this share one entry.
const RESOLUTION: time::Duration = time::Duration::from_millis(10);

/// Time for which values are kept; older load reports cannot be corrected.
const RETENTION: time::Duration = time::Duration::from_secs(5);
