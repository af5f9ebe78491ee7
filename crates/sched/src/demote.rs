use core::time;

use crate::position;
use crate::queue;

impl<T> queue::Queue<T> {
    /// Moves jobs past their target behind the other jobs of their tier.
    pub(crate) fn demote(&mut self, now: time::Duration) {
        for class in 0..self.backlogs.len() {
            while let Some(&(target, key)) = self.backlogs[class].targets.front() {
                if target > now {
                    break;
                }
                self.backlogs[class].targets.pop_front();
                self.demote_job(key);
            }
        }
    }

    fn demote_job(&mut self, key: queue::Key) {
        let Some(entry) = self.jobs.get(key).filter(|entry| !entry.is_late) else {
            return;
        };
        let is_eligible = entry.is_eligible;
        if is_eligible {
            self.unschedule(key);
        }
        let entry = &mut self.jobs[key];
        entry.is_late = true;
        let job = &entry.job;
        let backlog = &mut self.backlogs[usize::from(job.class)];
        backlog
            .late
            .insert(position::Position::new(job.deadline, key));
        self.flows.tiers[backlog.tier].late_cost += job.cost;
        if is_eligible {
            self.schedule(key);
        }
    }
}
