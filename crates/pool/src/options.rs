use std::collections;

use crate::class;

/// What a shard is told by the settings.
#[derive(Clone, Debug)]
pub struct Options {
    /// Classes, indexed by [`crate::Request::class`].
    pub classes: Vec<class::Class>,
    /// Weight per team; a team that is not listed has weight 1.
    pub weights: collections::HashMap<u32, f64>,
    /// Upper bound of queued asks.
    pub queue_max: usize,
    /// Output length in tokens above which a request counts as long.
    pub long_tokens: u32,
    /// Share of an endpoint's places that long requests may hold, 0 to 1.
    pub long_share: f64,
    /// Seed for jitter and tie-breaking.
    pub seed: u64,
}
