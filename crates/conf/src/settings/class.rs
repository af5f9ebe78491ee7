use core::time;

/// A `[class NAME]` section: requests with the same targets and tier.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Tier, 0 to 3; 0 is the highest.
    pub tier: u8,
    /// Target for the time to the first token or, for services, to the answer.
    pub target_first: time::Duration,
    /// Target for the time between tokens; `None` for no such target.
    pub target_gap: Option<time::Duration>,
    /// Time after which an answer is of no use, unless the request sets its
    /// own.
    pub deadline: time::Duration,
    /// Share of service reserved for the class while it is starved, 0 to 1.
    pub floor: f64,
    /// Time a request may wait before the floor applies.
    pub starvation_window: time::Duration,
    /// Share of requests that must meet the targets, 0 to 1.
    pub attainment: f64,
    /// Whether a request may run more than once, unless the pool sets it.
    pub idempotent: bool,
}
