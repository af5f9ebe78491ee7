use core::time;
use std::collections;

use crate::class;
use crate::place;
use crate::queue;

/// State of one class.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) class: class::Class,
    /// Index of the tier.
    pub(crate) tier: usize,
    /// Queued jobs by deadline.
    pub(crate) deadlines: collections::BTreeSet<place::Place>,
    /// Queued jobs that are past their target, by deadline.
    pub(crate) late: collections::BTreeSet<place::Place>,
    /// Jobs by target; entries of jobs that left are dropped late.
    pub(crate) fresh: collections::VecDeque<(time::Duration, queue::Key)>,
    /// Cost of the queued jobs, in tokens.
    pub(crate) cost: f64,
    /// Jobs in the order of arrival; entries of jobs that left are dropped late.
    arrivals: collections::VecDeque<(time::Duration, queue::Key)>,
    /// Start of the demand that has not been served since.
    since: Option<time::Duration>,
    last_demand: time::Duration,
    /// Tokens of service that the floor still allows.
    credit: f64,
}

impl Group {
    pub(crate) fn new(class: class::Class, tier: usize) -> Self {
        Self {
            class,
            tier,
            deadlines: collections::BTreeSet::new(),
            late: collections::BTreeSet::new(),
            fresh: collections::VecDeque::new(),
            cost: 0.0,
            arrivals: collections::VecDeque::new(),
            since: None,
            last_demand: time::Duration::ZERO,
            credit: 0.0,
        }
    }

    pub(crate) fn queued(&self) -> usize {
        self.deadlines.len()
    }

    /// Notes that a request of the class wants service, queued or not.
    ///
    /// Refused requests count as well: a class whose requests are all refused
    /// would otherwise starve without ever being queued.
    pub(crate) fn demand(&mut self, now: time::Duration) {
        let gap = now.saturating_sub(self.last_demand);
        let forgotten =
            self.queued() == 0 && gap > self.class.starvation_window.saturating_mul(FORGET);
        if self.since.is_none() || forgotten {
            self.since = Some(now);
        }
        self.last_demand = now;
    }

    pub(crate) fn arrive(&mut self, now: time::Duration, key: queue::Key) {
        self.arrivals.push_back((now, key));
    }

    /// Drops the entry of a job that left the queue, now or later.
    ///
    /// The front entry always belongs to a queued job.
    pub(crate) fn prune(&mut self, gone: queue::Key, live: impl Fn(queue::Key) -> bool) {
        if self.arrivals.front().is_some_and(|&(_, key)| key == gone) {
            self.arrivals.pop_front();
            while self.arrivals.front().is_some_and(|&(_, key)| !live(key)) {
                self.arrivals.pop_front();
            }
        }
        if self.arrivals.len() > 2 * self.queued() + PRUNE_SLACK {
            self.arrivals.retain(|&(_, key)| live(key));
        }
        if self.fresh.len() > 2 * self.queued() + PRUNE_SLACK {
            self.fresh.retain(|&(_, key)| live(key));
        }
    }

    /// Notes that a job of the class was taken.
    pub(crate) fn serve(&mut self, now: time::Duration, cost: f64) {
        self.since = (self.queued() > 0).then_some(now);
        self.credit -= cost;
    }

    /// Notes `cost` tokens of service given to any class.
    pub(crate) fn accrue(&mut self, now: time::Duration, cost: f64) {
        if self.overdue(now) {
            self.credit = (self.credit + self.class.floor * cost).min(CREDIT_MAX);
        } else {
            self.credit = 0.0;
        }
    }

    /// Returns whether the oldest job has waited for the starvation window.
    fn overdue(&self, now: time::Duration) -> bool {
        self.arrivals
            .front()
            .is_some_and(|&(at, _)| at.saturating_add(self.class.starvation_window) <= now)
    }

    /// Returns whether the floor asks for service now.
    pub(crate) fn due(&self, now: time::Duration) -> bool {
        if self.queued() == 0 {
            return false;
        }
        self.starved_at().is_some_and(|at| at <= now) || (self.credit > 0.0 && self.overdue(now))
    }

    /// Returns the time at which the class has waited for the whole window.
    pub(crate) fn starved_at(&self) -> Option<time::Duration> {
        self.since
            .map(|since| since.saturating_add(self.class.starvation_window))
    }
}

/// Windows without demand after which unserved demand is forgotten.
const FORGET: u32 = 10;

/// Stale arrival entries that are tolerated before a clean-up.
const PRUNE_SLACK: usize = 64;

/// Upper bound of saved floor service in tokens; it bounds the delay of higher tiers.
const CREDIT_MAX: f64 = 4_096.0;
