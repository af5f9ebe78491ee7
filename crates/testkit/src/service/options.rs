use core::time;

use crate::engine;

/// Properties of a stand-in service.
#[derive(Clone, Debug)]
pub struct Options {
    /// Upper bound of requests that run at once; more wait.
    pub slots: usize,
    /// Mean time from a request's start to its effect.
    pub delay: time::Duration,
    /// Share by which the delay varies in both directions, 0 to 1.
    pub jitter: f64,
    /// Seed of the jitter.
    pub seed: u64,
    /// Times at which the service is slower, relative to its start.
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
