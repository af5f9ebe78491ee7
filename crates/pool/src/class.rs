use core::time;

/// Scheduling settings of one class.
#[derive(Clone, Debug)]
pub struct Class {
    /// Tier; 0 is the highest.
    pub tier: u8,
    /// Target for the time to the first token.
    pub target_first: time::Duration,
    /// Target for the time between tokens; `None` for services without tokens.
    pub target_gap: Option<time::Duration>,
    /// Share of the shard's throughput that the class gets while higher tiers
    /// starve it, 0 to 1.
    pub floor: f64,
    /// Time without service, while requests of the class wait, after which the
    /// floor applies.
    pub starvation_window: time::Duration,
}
