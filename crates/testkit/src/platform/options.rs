use core::time;

/// Properties of a stand-in platform.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Reads per second that it serves, where a waiting watch counts as one; more get status 429.
    pub budget: u32,
    /// Time by which the host list is behind.
    pub hosts_lag: time::Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            budget: 2000,
            hosts_lag: time::Duration::ZERO,
        }
    }
}
