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
    /// Cost of the queued jobs, in tokens.
    pub(crate) cost: f64,
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
            cost: 0.0,
            arrivals: meter::Meter::new(ARRIVALS_MEMORY),
            index: rustc_hash::FxHashMap::default(),
            idle: collections::BTreeSet::new(),
        }
    }
}

/// Memory of the arrival rate; short, so that admission follows a swing within seconds.
const ARRIVALS_MEMORY: time::Duration = time::Duration::from_secs(2);
