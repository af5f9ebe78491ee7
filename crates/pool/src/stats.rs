use core::time;

/// Figures of one shard for status and metrics.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Queued asks per class.
    pub queued: Vec<usize>,
    /// Granted asks that have not ended, per endpoint.
    pub in_flight: Vec<(u32, u32)>,
    /// Estimated wait of an ask that arrives now in the lowest tier.
    pub wait: time::Duration,
}
