use core::time;
use std::collections;

use super::Kind;

/// Most observations of an endpoint that are kept.
const OBSERVATIONS_MAX: usize = 24;

/// Shortest time between two observations that are kept. With [`OBSERVATIONS_MAX`] of
/// them, a window covers about 5 s or more, and a disturbance of 600 ms is an eighth.
const SPACING: time::Duration = time::Duration::from_millis(200);

/// Time since the previous observation from which on one has the full weight. Several
/// observations within a disturbance are hardly more than one.
const FULL_WEIGHT_S: f32 = 1.0;

/// Age from which on an observation no longer counts.
pub(crate) const LIFE: time::Duration = time::Duration::from_secs(90);

/// Time constant of the decay of weights, in seconds.
const DECAY_S: f32 = 30.0;

/// One observation of the speed of an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Observation {
    at: time::Duration,
    pub(crate) kind: Kind,
    /// Logarithm of the speed in proportion to the constant of the kind.
    pub(crate) log: f32,
    weight: f32,
}

impl Observation {
    pub(crate) fn weight(&self, now: time::Duration) -> f32 {
        self.weight * remaining(now, self.at)
    }
}

/// Returns the part of a weight that remains at this age.
pub(crate) fn remaining(now: time::Duration, at: time::Duration) -> f32 {
    let age = now.saturating_sub(at);
    if age >= LIFE {
        return 0.0;
    }
    (-age.as_secs_f32() / DECAY_S).exp()
}

/// The last observations of an endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct Window(collections::VecDeque<Observation>);

impl Window {
    /// Adds an observation unless the last one is too recent.
    pub(crate) fn push(&mut self, now: time::Duration, kind: Kind, log: f32) {
        let pause = self.0.back().map(|last| now.saturating_sub(last.at));
        if pause.is_some_and(|pause| pause < SPACING) {
            return;
        }
        let weight = pause.map_or(1.0, |pause| (pause.as_secs_f32() / FULL_WEIGHT_S).min(1.0));
        if self.0.len() >= OBSERVATIONS_MAX {
            self.0.pop_front();
        }
        self.0.push_back(Observation {
            at: now,
            kind,
            log,
            weight,
        });
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Observation> {
        self.0.iter()
    }

    pub(crate) fn last_at(&self) -> Option<time::Duration> {
        self.0.back().map(|last| last.at)
    }
}

/// A value with its weight.
pub(crate) type Weighted = (f32, f32);

/// Returns the weighted median and the sum of the weights, or `None` if nothing has a
/// weight.
pub(crate) fn median(list: &mut [Weighted]) -> Option<Weighted> {
    list.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    let sum: f32 = list.iter().map(|(_, weight)| weight).sum();
    let mut below = 0.0;
    let middle = list.iter().find(|(_, weight)| {
        below += weight;
        below * 2.0 >= sum
    });
    middle.map(|(value, _)| (*value, sum)).filter(|_| sum > 0.0)
}
