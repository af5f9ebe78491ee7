use core::time;

/// Snapshot of a shard for status and metrics.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Number of queued requests by class, in the order of
    /// [`crate::Options::classes`]; a single total if the policy has no classes.
    pub queued: Vec<usize>,
    /// Endpoint identifiers with their number of granted requests that have not
    /// ended.
    pub in_flight: Vec<(u32, u32)>,
    /// Estimated wait of a request that arrives now in the lowest tier; zero if the
    /// policy makes no estimate.
    pub wait: time::Duration,
}
