use core::time;

use crate::window;

/// Ring of the buckets of one window.
///
/// Every call must pass the window that the ring was created with.
#[derive(Clone, Debug)]
pub(crate) struct Ring<T> {
    /// Number of the newest bucket, as returned by [`window::Window::bucket`].
    newest: u32,
    buckets: [T; window::BUCKETS],
}

impl<T: Clone + Default> Ring<T> {
    /// Returns a ring of empty buckets.
    pub(crate) fn new(window: window::Window, now: time::Duration) -> Self {
        Self {
            newest: window.bucket(now),
            buckets: core::array::from_fn(|_| T::default()),
        }
    }

    /// Returns the bucket of `now`, after clearing the buckets that it replaces. A time
    /// before the newest bucket falls into the newest one.
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
    pub(crate) fn covered(
        &self,
        window: window::Window,
        now: time::Duration,
    ) -> impl Iterator<Item = &T> {
        let newest = self.newest;
        let bucket = window.bucket(now).max(newest);
        let oldest = bucket.saturating_sub(BUCKETS - 1);
        // Buckets from before the ring was created are empty.
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
