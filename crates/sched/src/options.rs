use std::collections;

use crate::class;

/// Settings of a queue.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Classes, indexed by [`crate::Job::class`]. If empty, every job belongs to
    /// one class of tier 0 without a floor.
    pub classes: Vec<class::Class>,
    /// Fair-share weight per team. A team that is not listed, or whose weight is
    /// not finite, has weight 1; weights below 0.001 count as 0.001.
    pub weights: collections::HashMap<u32, f64>,
    /// Maximum number of queued jobs. Each class below the highest tier may have
    /// one more, so that a full queue cannot starve the class.
    pub queue_max: usize,
}

impl Options {
    pub(crate) fn weight(&self, team: u32) -> f64 {
        let weight = self.weights.get(&team).copied().unwrap_or(1.0);
        if weight.is_finite() {
            weight.max(WEIGHT_MIN)
        } else {
            1.0
        }
    }
}

/// Smallest weight of a team; a weight of 0 would make its virtual time infinite.
const WEIGHT_MIN: f64 = 0.001;
