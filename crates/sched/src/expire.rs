use core::time;

use crate::queue;
use crate::record;

impl<T> queue::Queue<T> {
    /// Removes the jobs whose deadline is not after `now`.
    pub fn expire(&mut self, now: time::Duration, out: &mut Vec<T>) {
        self.expire_before(now, now, out);
    }

    /// Removes the jobs whose deadline is not after `limit`.
    pub fn expire_before(&mut self, now: time::Duration, limit: time::Duration, out: &mut Vec<T>) {
        for index in 0..self.groups.len() {
            while let Some(&place) = self.groups[index].deadlines.first() {
                if place.deadline() > limit {
                    break;
                }
                let job = self.drop_job(place.key);
                let lost = self.subject(&job);
                self.note(now, record::Event::Expired, lost, None);
                out.push(job.data);
            }
        }
    }

    /// Records that a new job was refused because its deadline cannot be met.
    pub fn refuse(&mut self, now: time::Duration, class: u16, deadline: time::Duration) {
        let class = self.class(class);
        let tier = self.groups[usize::from(class)].class.tier;
        let lost = record::Subject {
            class,
            tier,
            deadline,
        };
        self.note(now, record::Event::Late, lost, None);
    }
}
