use core::time;

/// Since when the lease has been held without a gap.
#[derive(Clone, Debug, Default)]
pub(crate) struct Since {
    start: Option<time::Duration>,
}

impl Since {
    /// Applies the end of the lease as it is known at `now`.
    ///
    /// It is called before and after every change of the acknowledgements,
    /// so that a gap between two leases is never overlooked.
    pub(crate) fn update(&mut self, now: time::Duration, lease_end: Option<time::Duration>) {
        let held = lease_end.is_some_and(|end| now < end);
        if held {
            self.start.get_or_insert(now);
        } else {
            self.start = None;
        }
    }

    /// Forgets the lease.
    pub(crate) fn clear(&mut self) {
        self.start = None;
    }

    /// Returns since when the lease has been held.
    pub(crate) fn start(&self) -> Option<time::Duration> {
        self.start
    }
}
