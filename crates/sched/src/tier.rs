use core::time;
use std::collections;

use crate::meter;
use crate::tag;
use crate::team;

/// Fair-queueing and overload state of one tier.
#[derive(Debug)]
pub(crate) struct Tier {
    /// Virtual time among the teams of the tier.
    pub(crate) virtual_time: tag::Tag,
    /// Sum of the weights of the teams with an eligible job.
    pub(crate) active_weight: f64,
    /// Number of teams with an eligible job.
    pub(crate) active_teams: usize,
    /// Cost of the queued jobs, in tokens.
    pub(crate) cost: f64,
    /// Cost of the queued jobs that are past their target, in tokens.
    pub(crate) late_cost: f64,
    /// Start of the current overload; `None` if the tier is not overloaded.
    pub(crate) overloaded_since: Option<time::Duration>,
    /// Time at which the overload was last observed.
    pub(crate) last_overload: time::Duration,
    /// Cost of arriving jobs, in tokens per second.
    pub(crate) arrivals: meter::Meter,
    /// Teams by their identifier.
    pub(crate) teams: rustc_hash::FxHashMap<u32, team::Key>,
    /// Teams without jobs, by tag.
    pub(crate) idle_teams: collections::BTreeSet<(tag::Tag, team::Key)>,
}

impl Tier {
    pub(crate) fn new() -> Self {
        Self {
            virtual_time: tag::Tag::default(),
            active_weight: 0.0,
            active_teams: 0,
            cost: 0.0,
            late_cost: 0.0,
            overloaded_since: None,
            last_overload: time::Duration::ZERO,
            arrivals: meter::Meter::new(ARRIVALS_TIME_CONSTANT),
            teams: rustc_hash::FxHashMap::default(),
            idle_teams: collections::BTreeSet::new(),
        }
    }
}

impl Tier {
    /// Starts or ends an overload by the queued cost past its target;
    /// `capacity` is in tokens per second.
    pub(crate) fn update_overload(&mut self, now: time::Duration, capacity: f64) {
        if self.late_cost > capacity * OVERLOAD_SECONDS {
            self.overloaded_since.get_or_insert(now);
            self.last_overload = now;
        } else if now.saturating_sub(self.last_overload) > OVERLOAD_CLEAR_TIME {
            self.overloaded_since = None;
        }
    }

    /// Records that a job was refused or dropped because of the overload, which
    /// therefore continues.
    pub(crate) const fn extend_overload(&mut self, now: time::Duration) {
        if self.overloaded_since.is_some() {
            self.last_overload = now;
        }
    }
}

/// Service time of the jobs past their target above which a tier is overloaded.
const OVERLOAD_SECONDS: f64 = 1.0;

/// Time without signs of an overload after which it is over.
const OVERLOAD_CLEAR_TIME: time::Duration = time::Duration::from_secs(2);

/// Time constant of the arrival rate; short, so that admission follows a change
/// of load within seconds.
const ARRIVALS_TIME_CONSTANT: time::Duration = time::Duration::from_secs(2);
