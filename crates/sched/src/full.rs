use crate::group;
use crate::job;
use crate::queue;
use crate::record;

impl<T> queue::Queue<T> {
    pub(crate) fn subject(&self, job: &job::Job<T>) -> record::Rank {
        record::Rank {
            class: job.class,
            tier: self.groups[usize::from(job.class)].class.tier,
            deadline: job.deadline,
        }
    }

    /// Returns whether a job of the class is accepted however full the queue is.
    ///
    /// One job of each class below the highest tier does not count towards
    /// `queue_max`. Without it, a queue full of higher tiers would starve the
    /// class before its floor could apply.
    pub(crate) fn reserved(&self, class: u16) -> bool {
        let group = &self.groups[usize::from(class)];
        group.tier > 0 && group.queued() == 0
    }

    /// Returns the number of queued jobs that count towards `queue_max`.
    pub(crate) fn counted(&self) -> usize {
        self.groups.iter().map(sheddable).sum()
    }

    /// Returns the job that is shed first: lowest tier present, latest deadline.
    pub(crate) fn victim(&self) -> Option<(record::Rank, queue::Key)> {
        let groups = self.groups.iter().filter(|group| sheddable(group) > 0);
        let lasts = groups.filter_map(|group| {
            let &place = group.deadlines.last()?;
            Some((group.tier, place))
        });
        let (_, place) = lasts.max()?;
        Some((self.subject(&self.jobs[place.key].job), place.key))
    }

    /// Returns whether the team of a new job holds its share of the queue.
    ///
    /// This applies only while no lower tier is queued, so that nobody is
    /// refused in favour of a lower tier.
    pub(crate) fn share_used(&self, job: &job::Job<T>) -> bool {
        let counted = self.counted();
        if counted * 2 < self.options.queue_max {
            return false;
        }
        let rank = self.groups[usize::from(job.class)].tier;
        let mut groups = self.groups.iter();
        if groups.any(|group| group.tier > rank && sheddable(group) > 0) {
            return false;
        }
        let tier = &self.flows.tiers[rank];
        let Some(team) = tier.index.get(&job.team).map(|&key| &self.flows.teams[key]) else {
            return false;
        };
        if team.linked == 0 {
            return false;
        }
        let part = team.weight / tier.weight.max(team.weight);
        let share = (self.options.queue_max as f64 * part) as usize;
        team.queued >= share.max(SHARE_MIN)
    }
}

fn sheddable(group: &group::Group) -> usize {
    let reserved = usize::from(group.tier > 0);
    group.queued().saturating_sub(reserved)
}

/// Queued jobs that every team may have, however many teams there are.
const SHARE_MIN: usize = 8;
