use core::time;

use crate::engine;

/// Configuration of a stand-in service.
#[derive(Clone, Debug)]
pub struct Options {
    /// Maximum number of concurrent requests; further ones are queued.
    pub slots: usize,
    /// Mean time from the start of a request to its effect.
    pub delay: time::Duration,
    /// Largest deviation from the delay as a fraction of it, 0 to 1.
    pub jitter: f64,
    /// Seed of the jitter.
    pub seed: u64,
    /// Scripted slowdowns, relative to the start of the service.
    pub slow: Vec<engine::Slowdown>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            slots: 16,
            delay: time::Duration::ZERO,
            jitter: 0.0,
            seed: 0,
            slow: Vec::new(),
        }
    }
}
