use core::time;

/// Scheduling settings of one class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Priority tier; 0 is the highest.
    pub tier: u8,
    /// Minimum share of the served tokens, from 0 to 1, that the class receives
    /// while its oldest job has waited for longer than `starvation_window`.
    pub floor: f64,
    /// Time without service after which a job of the class goes ahead of higher
    /// tiers.
    pub starvation_window: time::Duration,
}
