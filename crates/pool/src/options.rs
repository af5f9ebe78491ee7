use std::collections;

use crate::class;

/// Settings of a shard.
#[derive(Clone, Debug)]
pub struct Options {
    /// Classes, indexed by [`crate::Request::class`].
    pub classes: Vec<class::Class>,
    /// Fair-share weight by team key; 1 for a team that is not listed.
    pub weights: collections::HashMap<u32, f64>,
    /// Limit of queued requests.
    pub queue_max: usize,
    /// Expected output length in tokens above which a request counts as long.
    pub long_tokens: u32,
    /// Share of an endpoint's slots that long requests may hold, 0 to 1.
    pub long_share: f64,
    /// Seed of the random numbers for jitter and tie-breaking.
    pub seed: u64,
}
