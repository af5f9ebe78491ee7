use core::time;

use crate::queue;

impl<T> queue::Queue<T> {
    /// Estimates how long a new job of this class and caller would wait.
    ///
    /// `capacity` is the service rate of the shard in tokens per second. The
    /// result is the shorter of the wait in strict order, behind the arrivals
    /// of higher tiers, and the wait for the floor of the class. It is capped
    /// at [`WAIT_MAX`].
    pub fn wait(
        &self,
        now: time::Duration,
        class: u16,
        team: u32,
        caller: u64,
        capacity: f64,
    ) -> time::Duration {
        let group = &self.groups[usize::from(self.class(class))];
        let tier = group.tier;
        let weight = self.weight(team);
        let own = self.flows.ahead(tier, team, weight, caller);
        let higher = &self.flows.tiers[..tier];
        let ahead = own + higher.iter().map(|tier| tier.cost).sum::<f64>();
        if ahead <= 0.0 {
            return time::Duration::ZERO;
        }
        let arriving: f64 = higher.iter().map(|tier| tier.arrivals.rate(now)).sum();
        let strict = ahead / (capacity - arriving).max(0.0);
        let until = match group.starved_at() {
            Some(at) => at.saturating_sub(now),
            None => group.class.starvation_window,
        };
        let behind = own.min(group.cost);
        let share = if behind > 0.0 {
            behind / (group.class.floor * capacity)
        } else {
            0.0
        };
        let floor = until.as_secs_f64() + share;
        let wait = strict.min(floor);
        time::Duration::try_from_secs_f64(wait).map_or(WAIT_MAX, |wait| wait.min(WAIT_MAX))
    }

    /// Estimates the wait of a caller without history in the lowest tier.
    pub fn wait_lowest(&self, now: time::Duration, capacity: f64) -> time::Duration {
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

/// Longest wait that is estimated; beyond it only the order matters.
const WAIT_MAX: time::Duration = time::Duration::from_secs(3_600);
