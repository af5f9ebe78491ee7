use core::time;

use crate::queue;

impl<T> queue::Queue<T> {
    /// Estimates how long a new job of this class and caller would wait.
    ///
    /// `cost` is in tokens, `capacity` is the service rate of the shard in
    /// tokens per second, and `slack` is the time until the job misses its
    /// target. The result is the shorter of the wait in priority order, behind
    /// the arrivals of higher tiers, and the wait for the floor of the class.
    /// It is at most one hour.
    ///
    /// A job that would miss its target is served after those that would not.
    /// Its tier is then expected to stay overloaded for as long again as it has
    /// been so far.
    pub fn estimate_wait(
        &self,
        now: time::Duration,
        class: u16,
        (team, caller, cost): (u32, u64, f64),
        slack: time::Duration,
        capacity: f64,
    ) -> time::Duration {
        let backlog = &self.backlogs[usize::from(self.clamp_class(class))];
        let tier = &self.flows.tiers[backlog.tier];
        let weight = self.weight(team);
        let own = self
            .flows
            .tokens_ahead(backlog.tier, team, weight, caller, cost);
        let higher = &self.flows.tiers[..backlog.tier];
        let above = higher.iter().map(|tier| tier.cost).sum::<f64>();
        if own + above <= 0.0 {
            return time::Duration::ZERO;
        }
        let arriving: f64 = higher.iter().map(|tier| tier.arrivals.rate(now)).sum();
        let rate = (capacity - arriving).max(0.0);
        let mut strict = (own + above) / rate;
        if strict > ON_TIME_SLACK_SHARE * slack.as_secs_f64() {
            let overloaded = tier
                .overloaded_since
                .map_or(0.0, |since| seconds(now, since));
            strict = overloaded + (above + own + tier.late_cost) / rate;
        }
        let until = match backlog.starved_at() {
            Some(at) => at.saturating_sub(now),
            None => backlog.class.starvation_window,
        };
        let behind = own.min(backlog.cost);
        let share = if behind > 0.0 {
            behind / (backlog.class.floor * capacity)
        } else {
            0.0
        };
        let floor = until.as_secs_f64() + share;
        let wait = strict.min(floor);
        time::Duration::try_from_secs_f64(wait).map_or(WAIT_MAX, |wait| wait.min(WAIT_MAX))
    }

    /// Estimates the wait of a new caller in the lowest tier, at most one hour.
    ///
    /// `capacity` is the service rate of the shard in tokens per second.
    pub fn estimate_wait_in_lowest_tier(
        &self,
        now: time::Duration,
        capacity: f64,
    ) -> time::Duration {
        let ahead: f64 = self.flows.tiers.iter().map(|tier| tier.cost).sum();
        let higher = &self.flows.tiers[..self.flows.tiers.len() - 1];
        let arriving: f64 = higher.iter().map(|tier| tier.arrivals.rate(now)).sum();
        if ahead <= 0.0 {
            return time::Duration::ZERO;
        }
        let wait = ahead / (capacity - arriving).max(0.0);
        time::Duration::try_from_secs_f64(wait).map_or(WAIT_MAX, |wait| wait.min(WAIT_MAX))
    }
}

fn seconds(now: time::Duration, since: time::Duration) -> f64 {
    now.saturating_sub(since).as_secs_f64()
}

/// Share of the slack that the estimated wait may take for a job to count as on
/// time; the estimate leaves out jobs that arrive later and are served first.
const ON_TIME_SLACK_SHARE: f64 = 0.5;

/// Longest estimated wait; beyond it, only the order of the jobs matters.
const WAIT_MAX: time::Duration = time::Duration::from_secs(3_600);
