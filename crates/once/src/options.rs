use core::time;

/// Settings of the owners of callers' own keys.
///
/// All owners must have the same values; a change needs a higher epoch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Host names of the owners.
    pub owners: Vec<String>,
    /// Owners before the change in progress; empty if there is none.
    pub previous_owners: Vec<String>,
    /// Number of the owner set; must grow with each change.
    pub epoch: u64,
    /// How long an acknowledgement is valid, counted from the sending of the
    /// claim that it answers.
    pub lease: time::Duration,
    /// Largest difference between two wall clocks at any two moments.
    pub clock_skew: time::Duration,
    /// Longest time after the first attempt at which a caller may send again.
    pub resend_max_age: time::Duration,
}

impl Options {
    /// Returns how long the outcome of a key is kept after its run ended.
    pub fn retention(&self) -> time::Duration {
        self.resend_max_age.saturating_add(self.clock_skew)
    }

    /// Returns how long after its start a host grants no acknowledgement.
    ///
    /// A restarted host has lost its record of acknowledgements. The delay is
    /// two leases because competing lifetimes may rely on acknowledgements of
    /// two consecutive lease windows, plus an eighth of a lease for clocks that
    /// run at different rates.
    pub fn ack_delay(&self) -> time::Duration {
        self.lease * 2 + self.lease / 8
    }
}
