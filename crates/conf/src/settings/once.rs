use core::time;

/// The `[once]` section.
#[derive(Clone, Debug, PartialEq)]
pub struct Once {
    /// Names of the hosts that own callers' own keys.
    pub owners: Vec<String>,
    /// Owners before the change in progress.
    pub previous_owners: Vec<String>,
    /// Number of the owner set; grows with each change.
    pub epoch: u64,
    /// How long an acknowledgement holds.
    pub lease: time::Duration,
    /// Largest difference between two clocks.
    pub clock_skew: time::Duration,
    /// Longest time after the first attempt at which a caller sends again.
    pub resend_max_age: time::Duration,
    /// Upper bound of kept results.
    pub kept_max: usize,
}
