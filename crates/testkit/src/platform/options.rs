use core::time;

/// Configuration of a stand-in platform.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum number of reads per second, in which each waiting watch counts as one; beyond
    /// it, reads are refused with status 429.
    pub budget: u32,
    /// Delay until a change of the host list is visible to readers.
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
