use core::time;
use std::collections;

use crate::class;
use crate::position;
use crate::queue;

/// Queued jobs of one class and its claim on the floor.
#[derive(Debug)]
pub(crate) struct Backlog {
    pub(crate) class: class::Class,
    /// Index of the tier among the tiers in use.
    pub(crate) tier: usize,
    /// Queued jobs by deadline.
    pub(crate) deadlines: collections::BTreeSet<position::Position>,
    /// Queued jobs that are past their target, by deadline.
    pub(crate) late: collections::BTreeSet<position::Position>,
    /// Jobs before their target, in the order of arrival. Entries of removed jobs
    /// are pruned later.
    pub(crate) targets: collections::VecDeque<(time::Duration, queue::Key)>,
    /// Cost of the queued jobs, in tokens.
    pub(crate) cost: f64,
    /// Jobs in the order of arrival. Entries of removed jobs are pruned later.
    arrivals: collections::VecDeque<(time::Duration, queue::Key)>,
    /// Start of the demand that has not been served; `None` if there is none.
    unserved_since: Option<time::Duration>,
    last_demand: time::Duration,
    /// Tokens of service to which the floor entitles the class.
    floor_credit: f64,
}

impl Backlog {
    pub(crate) fn new(class: class::Class, tier: usize) -> Self {
        Self {
            class,
            tier,
            deadlines: collections::BTreeSet::new(),
            late: collections::BTreeSet::new(),
            targets: collections::VecDeque::new(),
            cost: 0.0,
            arrivals: collections::VecDeque::new(),
            unserved_since: None,
            last_demand: time::Duration::ZERO,
            floor_credit: 0.0,
        }
    }

    pub(crate) fn queued(&self) -> usize {
        self.deadlines.len()
    }

    /// Records a request of the class, whether it is queued or not.
    ///
    /// Refused requests count too: a class whose requests are all refused would
    /// otherwise starve without ever being queued.
    pub(crate) fn record_demand(&mut self, now: time::Duration) {
        let gap = now.saturating_sub(self.last_demand);
        let has_expired = self.queued() == 0
            && gap
                > self
                    .class
                    .starvation_window
                    .saturating_mul(DEMAND_EXPIRY_WINDOWS);
        if self.unserved_since.is_none() || has_expired {
            self.unserved_since = Some(now);
        }
        self.last_demand = now;
    }

    pub(crate) fn record_arrival(&mut self, now: time::Duration, key: queue::Key) {
        self.arrivals.push_back((now, key));
    }

    /// Removes stale entries after the job `removed` has left the queue.
    ///
    /// The front entry of the arrivals always belongs to a queued job.
    pub(crate) fn prune(&mut self, removed: queue::Key, is_queued: impl Fn(queue::Key) -> bool) {
        if self
            .arrivals
            .front()
            .is_some_and(|&(_, key)| key == removed)
        {
            self.arrivals.pop_front();
            while self
                .arrivals
                .front()
                .is_some_and(|&(_, key)| !is_queued(key))
            {
                self.arrivals.pop_front();
            }
        }
        if self.arrivals.len() > 2 * self.queued() + PRUNE_SLACK {
            self.arrivals.retain(|&(_, key)| is_queued(key));
        }
        if self.targets.len() > 2 * self.queued() + PRUNE_SLACK {
            self.targets.retain(|&(_, key)| is_queued(key));
        }
    }

    /// Records that a job of the class was taken for service.
    pub(crate) fn record_service(&mut self, now: time::Duration, cost: f64) {
        self.unserved_since = (self.queued() > 0).then_some(now);
        self.floor_credit -= cost;
    }

    /// Adds the floor's share of `cost` tokens that were served to any class, or
    /// clears the credit if no job is overdue.
    pub(crate) fn accrue_credit(&mut self, now: time::Duration, cost: f64) {
        if self.is_overdue(now) {
            self.floor_credit =
                (self.floor_credit + self.class.floor * cost).min(CREDIT_MAX_TOKENS);
        } else {
            self.floor_credit = 0.0;
        }
    }

    /// Returns whether the oldest job has waited for the starvation window.
    fn is_overdue(&self, now: time::Duration) -> bool {
        self.arrivals
            .front()
            .is_some_and(|&(at, _)| at.saturating_add(self.class.starvation_window) <= now)
    }

    /// Returns whether the floor entitles the class to service now.
    pub(crate) fn is_floor_due(&self, now: time::Duration) -> bool {
        if self.queued() == 0 {
            return false;
        }
        self.starved_at().is_some_and(|at| at <= now)
            || (self.floor_credit > 0.0 && self.is_overdue(now))
    }

    /// Returns the time at which the unserved demand reaches the starvation
    /// window.
    pub(crate) fn starved_at(&self) -> Option<time::Duration> {
        self.unserved_since
            .map(|since| since.saturating_add(self.class.starvation_window))
    }
}

/// Starvation windows without demand after which unserved demand expires.
const DEMAND_EXPIRY_WINDOWS: u32 = 10;

/// Stale entries that are tolerated before they are pruned.
const PRUNE_SLACK: usize = 64;

/// Maximum floor credit; it bounds the delay of higher tiers.
const CREDIT_MAX_TOKENS: f64 = 4_096.0;
