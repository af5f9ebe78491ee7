use core::time;

use crate::queue;
use crate::record;

impl<T> queue::Queue<T> {
    /// Removes the jobs whose deadline is at or before `now` and appends their
    /// data to `out`.
    pub fn expire(&mut self, now: time::Duration, out: &mut Vec<T>) {
        self.expire_until(now, now, out);
    }

    /// Removes the jobs whose deadline is at or before `limit` and appends their
    /// data to `out`.
    pub fn expire_until(&mut self, now: time::Duration, limit: time::Duration, out: &mut Vec<T>) {
        for index in 0..self.backlogs.len() {
            while let Some(&position) = self.backlogs[index].deadlines.first() {
                if position.deadline() > limit {
                    break;
                }
                let job = self.drop_job(position.key);
                let dropped = self.rank(&job);
                self.record(now, record::Reason::Expired, dropped, None);
                out.push(job.data);
            }
        }
    }

    /// Records that the owner refused a new job because its deadline cannot be
    /// met.
    pub fn record_refusal(&mut self, now: time::Duration, class: u16, deadline: time::Duration) {
        let class = self.clamp_class(class);
        let backlog = &self.backlogs[usize::from(class)];
        let tier = backlog.class.tier;
        self.flows.tiers[backlog.tier].extend_overload(now);
        let dropped = record::Rank {
            class,
            tier,
            deadline,
        };
        self.record(now, record::Reason::DeadlineUnreachable, dropped, None);
    }

    /// Removes jobs past their target that an overload of their tier will
    /// outlast, and appends their data to `out`.
    ///
    /// An overload is expected to last as long again as it has lasted so far.
    /// Jobs past their target whose deadline is before that are removed at once
    /// instead of at their deadline. The last job of a class below the highest
    /// tier stays if the floor of the class applies before its deadline.
    /// `capacity` is the service rate of the shard in tokens per second.
    pub fn shed_overload(&mut self, now: time::Duration, capacity: f64, out: &mut Vec<T>) {
        self.demote(now);
        for tier in &mut self.flows.tiers {
            tier.update_overload(now, capacity);
        }
        for index in 0..self.backlogs.len() {
            while let Some(key) = self.unservable_job(now, index) {
                let job = self.drop_job(key);
                let dropped = self.rank(&job);
                let tier = self.backlogs[index].tier;
                self.flows.tiers[tier].extend_overload(now);
                self.record(now, record::Reason::Overload, dropped, None);
                out.push(job.data);
            }
        }
    }

    /// Returns a job of a class that the overload of its tier will outlast, if any.
    fn unservable_job(&self, now: time::Duration, index: usize) -> Option<queue::Key> {
        let backlog = &self.backlogs[index];
        let since = self.flows.tiers[backlog.tier].overloaded_since?;
        let position = backlog.late.first()?;
        let has_floor_in_time = backlog
            .starved_at()
            .is_some_and(|at| at < position.deadline());
        let is_reserved = backlog.queued() == 1 && backlog.tier > 0 && has_floor_in_time;
        let is_unservable = position.deadline() <= now + now.saturating_sub(since);
        (is_unservable && !is_reserved).then_some(position.key)
    }
}
