use core::time;
use std::collections;

use crate::meter;
use crate::tag;
use crate::team;

/// State of one tier.
#[derive(Debug)]
pub(crate) struct Tier {
    /// Virtual time among the teams of the tier.
    pub(crate) system: tag::Tag,
    /// Sum of the weights of teams with a job that could be taken.
    pub(crate) weight: f64,
    /// Teams with a job that could be taken.
    pub(crate) active: usize,
    /// Cost of the queued jobs, in tokens.
    pub(crate) cost: f64,
    /// Cost of the queued jobs that are past their target, in tokens.
    pub(crate) late: f64,
    /// Time since which the tier is overloaded.
    pub(crate) overloaded: Option<time::Duration>,
    /// Last sign of the overload.
    pub(crate) stressed: time::Duration,
    /// Cost of the jobs that arrive, in tokens per second.
    pub(crate) arrivals: meter::Meter,
    pub(crate) index: rustc_hash::FxHashMap<u32, team::Key>,
    pub(crate) idle: collections::BTreeSet<(tag::Tag, team::Key)>,
}

impl Tier {
    pub(crate) fn new() -> Self {
        Self {
            system: tag::Tag::default(),
            weight: 0.0,
            active: 0,
            cost: 0.0,
            late: 0.0,
            overloaded: None,
            stressed: time::Duration::ZERO,
            arrivals: meter::Meter::new(ARRIVALS_MEMORY),
            index: rustc_hash::FxHashMap::default(),
            idle: collections::BTreeSet::new(),
        }
    }
}

impl Tier {
    /// Notes whether jobs past their target pile up; `capacity` is in tokens per second.
    pub(crate) fn watch(&mut self, now: time::Duration, capacity: f64) {
        if self.late > capacity * OVERLOAD_SECONDS {
            self.overloaded.get_or_insert(now);
            self.stressed = now;
        } else if now.saturating_sub(self.stressed) > CALM {
            self.overloaded = None;
        }
    }

    /// Notes that a job was given up because of the overload.
    pub(crate) const fn stress(&mut self, now: time::Duration) {
        if self.overloaded.is_some() {
            self.stressed = now;
        }
    }
}

/// Service time of the jobs past their target above which a tier is overloaded.
const OVERLOAD_SECONDS: f64 = 1.0;

/// Time without jobs that are given up after which an overload is over.
const CALM: time::Duration = time::Duration::from_secs(2);

/// Memory of the arrival rate; short, so that admission follows a swing within seconds.
const ARRIVALS_MEMORY: time::Duration = time::Duration::from_secs(2);
