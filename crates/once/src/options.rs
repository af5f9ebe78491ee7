use core::time;

/// Settings of the owners of callers' own keys.
///
/// All owners must agree on them; a change needs a new epoch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Names of the owners.
    pub owners: Vec<String>,
    /// Owners before the change in progress; empty without one.
    pub previous_owners: Vec<String>,
    /// Number of the owner set; grows with each change.
    pub epoch: u64,
    /// How long an acknowledgement holds.
    pub lease: time::Duration,
    /// Largest difference between two wall clocks at any two moments.
    pub clock_skew: time::Duration,
    /// Longest time after the first attempt at which a caller sends again.
    pub resend_max_age: time::Duration,
}

impl Options {
    /// Returns for how long a result is kept.
    pub fn retention(&self) -> time::Duration {
        self.resend_max_age.saturating_add(self.clock_skew)
    }

    /// Returns how long after its start a host gives no acknowledgement.
    ///
    /// Two leases are needed because the lifetimes that compete may rely on
    /// acknowledgements of two consecutive lease windows. The eighth of a
    /// lease covers clocks that run at different rates.
    pub fn ack_delay(&self) -> time::Duration {
        self.lease * 2 + self.lease / 8
    }
}
