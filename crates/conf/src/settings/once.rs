use core::time;

/// The `[once]` section: at-most-once execution.
#[derive(Clone, Debug, PartialEq)]
pub struct Once {
    /// Names of the hosts that own the idempotency keys chosen by callers.
    pub owners: Vec<String>,
    /// Owners before the change in progress; empty if there is none.
    pub previous_owners: Vec<String>,
    /// Number of the owner set; must grow with each change of the owners.
    pub epoch: u64,
    /// Time for which an acknowledgement by another owner is valid.
    pub lease: time::Duration,
    /// Maximum difference between two wall clocks.
    pub clock_skew: time::Duration,
    /// Maximum time after the first attempt at which a caller may send again.
    pub resend_max_age: time::Duration,
    /// Maximum number of stored results.
    pub kept_max: usize,
}
