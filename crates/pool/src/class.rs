use core::time;

/// What the policy needs to know about one class.
#[derive(Clone, Debug)]
pub struct Class {
    /// Tier; 0 is the highest.
    pub tier: u8,
    /// Target for the time to the first token.
    pub target_first: time::Duration,
    /// Target for the time between tokens; `None` for plain services.
    pub target_gap: Option<time::Duration>,
    /// Share of the shard's service that the class gets when it starves, 0 to 1.
    pub floor: f64,
    /// Longest wait before the floor applies.
    pub starvation_window: time::Duration,
}
