use core::time;

/// A `[class NAME]` section.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Tier; 0 is the highest.
    pub tier: u8,
    /// Target for the time to the first token or, for services, to the answer.
    pub target_first: time::Duration,
    /// Target for the time between tokens.
    pub target_gap: Option<time::Duration>,
    /// Time after which an answer is no longer wanted, unless the request says.
    pub deadline: time::Duration,
    /// Share of service that the class gets when it starves, 0 to 1.
    pub floor: f64,
    /// Longest wait before the floor applies.
    pub starvation_window: time::Duration,
    /// Share of requests that must meet the targets, 0 to 1.
    pub attainment: f64,
    /// Whether a request may run more than once.
    pub idempotent: bool,
}
