use core::time;

use crate::queue;
use crate::record;

impl<T> queue::Queue<T> {
    /// Removes the jobs whose deadline is not after `now`.
    pub fn expire(&mut self, now: time::Duration, out: &mut Vec<T>) {
        self.expire_until(now, now, out);
    }

    /// Removes the jobs whose deadline is not after `limit`.
    pub fn expire_until(&mut self, now: time::Duration, limit: time::Duration, out: &mut Vec<T>) {
        for index in 0..self.groups.len() {
            while let Some(&place) = self.groups[index].deadlines.first() {
                if place.deadline() > limit {
                    break;
                }
                let job = self.drop_job(place.key);
                let lost = self.subject(&job);
                self.note(now, record::Reason::Expired, lost, None);
                out.push(job.data);
            }
        }
    }

    /// Records that a new job was refused because its deadline cannot be met.
    pub fn record_refusal(&mut self, now: time::Duration, class: u16, deadline: time::Duration) {
        let class = self.class(class);
        let group = &self.groups[usize::from(class)];
        let tier = group.class.tier;
        self.flows.tiers[group.tier].stress(now);
        let lost = record::Rank {
            class,
            tier,
            deadline,
        };
        self.note(now, record::Reason::DeadlineUnreachable, lost, None);
    }

    /// Gives up jobs past their target whose tier stays overloaded too long.
    ///
    /// An overload is expected to last as long again as it has lasted, so jobs
    /// whose deadline is before that are removed at once instead of held. The
    /// last job of a class stays if its floor comes before its deadline.
    pub fn shed_overload(&mut self, now: time::Duration, capacity: f64, out: &mut Vec<T>) {
        self.demote(now);
        for tier in &mut self.flows.tiers {
            tier.watch(now, capacity);
        }
        for index in 0..self.groups.len() {
            while let Some(key) = self.hopeless(now, index) {
                let job = self.drop_job(key);
                let lost = self.subject(&job);
                let tier = self.groups[index].tier;
                self.flows.tiers[tier].stress(now);
                self.note(now, record::Reason::Overload, lost, None);
                out.push(job.data);
            }
        }
    }

    fn hopeless(&self, now: time::Duration, index: usize) -> Option<queue::Key> {
        let group = &self.groups[index];
        let since = self.flows.tiers[group.tier].overloaded?;
        let place = group.late.first()?;
        let floor = group.starved_at().is_some_and(|at| at < place.deadline());
        let last = group.queued() == 1 && group.tier > 0 && floor;
        let hopeless = place.deadline() <= now + now.saturating_sub(since);
        (hopeless && !last).then_some(place.key)
    }
}
