use core::time;

/// The time since which the lease has been held without a gap.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lease {
    held_since: Option<time::Duration>,
}

impl Lease {
    /// Applies the end of the lease as known at `now`.
    ///
    /// It must be called before and after every change of the acknowledgements,
    /// so that a gap between two leases is never missed.
    pub(crate) fn update(&mut self, now: time::Duration, lease_end: Option<time::Duration>) {
        let is_held = lease_end.is_some_and(|end| now < end);
        if is_held {
            self.held_since.get_or_insert(now);
        } else {
            self.held_since = None;
        }
    }

    /// Drops the lease.
    pub(crate) fn clear(&mut self) {
        self.held_since = None;
    }

    /// Returns the time since which the lease has been held, if it is.
    pub(crate) fn held_since(&self) -> Option<time::Duration> {
        self.held_since
    }
}
