use core::time;

/// What the queue needs to know about one class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Tier; 0 is the highest.
    pub tier: u8,
    /// Share of the service that the class gets while it starves, 0 to 1.
    pub floor: f64,
    /// Longest wait before the floor applies.
    pub starvation_window: time::Duration,
}
