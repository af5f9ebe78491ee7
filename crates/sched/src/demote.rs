use core::time;

use crate::place;
use crate::queue;

impl<T> queue::Queue<T> {
    /// Moves jobs past their target behind the others of their tier.
    pub(crate) fn demote(&mut self, now: time::Duration) {
        for class in 0..self.groups.len() {
            while let Some(&(target, key)) = self.groups[class].fresh.front() {
                if target > now {
                    break;
                }
                self.groups[class].fresh.pop_front();
                self.demote_job(key);
            }
        }
    }

    fn demote_job(&mut self, key: queue::Key) {
        let Some(entry) = self.jobs.get(key).filter(|entry| !entry.late) else {
            return;
        };
        let linked = entry.linked;
        if linked {
            self.unlink(key);
        }
        let entry = &mut self.jobs[key];
        entry.late = true;
        let job = &entry.job;
        let group = &mut self.groups[usize::from(job.class)];
        group.late.insert(place::Place::new(job.deadline, key));
        self.flows.tiers[group.tier].late += job.cost;
        if linked {
            self.link(key);
        }
    }
}
