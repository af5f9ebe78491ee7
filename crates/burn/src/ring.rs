use core::time;

use crate::window;

/// The buckets of one window.
#[derive(Clone, Debug)]
pub(crate) struct Ring<T> {
    newest: u32,
    buckets: [T; window::BUCKETS],
}

impl<T: Clone + Default> Ring<T> {
    /// Returns an empty ring.
    pub(crate) fn new(window: window::Window, now: time::Duration) -> Self {
        Self {
            newest: window.bucket(now),
            buckets: core::array::from_fn(|_| T::default()),
        }
    }

    /// Returns the bucket of `now`. A time before the newest bucket counts as
    /// the newest one.
    pub(crate) fn current(&mut self, window: window::Window, now: time::Duration) -> &mut T {
        let bucket = window.bucket(now).max(self.newest);
        let passed = (bucket - self.newest).min(BUCKETS);
        for step in 0..passed {
            self.buckets[slot(bucket - step)] = T::default();
        }
        self.newest = bucket;
        &mut self.buckets[slot(bucket)]
    }

    /// Returns the buckets that the window covers at `now`.
    pub(crate) fn live(
        &self,
        window: window::Window,
        now: time::Duration,
    ) -> impl Iterator<Item = &T> {
        let newest = self.newest;
        let bucket = window.bucket(now).max(newest);
        let oldest = bucket.saturating_sub(BUCKETS - 1);
        // Buckets before the first one of the process are empty.
        (oldest..=newest).map(|bucket| &self.buckets[slot(bucket)])
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "the number of buckets is 12"
)]
const BUCKETS: u32 = window::BUCKETS as u32;

const fn slot(bucket: u32) -> usize {
    (bucket % BUCKETS) as usize
}
