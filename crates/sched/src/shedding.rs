use crate::backlog;
use crate::job;
use crate::queue;
use crate::record;

impl<T> queue::Queue<T> {
    pub(crate) fn rank(&self, job: &job::Job<T>) -> record::Rank {
        record::Rank {
            class: job.class,
            tier: self.backlogs[usize::from(job.class)].class.tier,
            deadline: job.deadline,
        }
    }

    /// Returns whether a job of the class is accepted even if the queue is full.
    ///
    /// One job of each class below the highest tier does not count towards
    /// `queue_max`. Without it, a queue full of higher tiers would starve the
    /// class before its floor could apply.
    pub(crate) fn is_reserved(&self, class: u16) -> bool {
        let backlog = &self.backlogs[usize::from(class)];
        backlog.tier > 0 && backlog.queued() == 0
    }

    /// Returns the number of queued jobs that count towards `queue_max`.
    pub(crate) fn counted_jobs(&self) -> usize {
        self.backlogs.iter().map(sheddable).sum()
    }

    /// Returns the job to drop first: of the lowest tier present, the one with
    /// the latest deadline.
    pub(crate) fn victim(&self) -> Option<(record::Rank, queue::Key)> {
        let backlogs = self
            .backlogs
            .iter()
            .filter(|backlog| sheddable(backlog) > 0);
        let last_positions = backlogs.filter_map(|backlog| {
            let &position = backlog.deadlines.last()?;
            Some((backlog.tier, position))
        });
        let (_, position) = last_positions.max()?;
        Some((self.rank(&self.jobs[position.key].job), position.key))
    }

    /// Returns whether the team of a new job already holds its share of the queue.
    ///
    /// This applies only while no lower tier is queued, so that no job is refused
    /// in favour of a lower tier.
    pub(crate) fn is_team_share_used(&self, job: &job::Job<T>) -> bool {
        let counted = self.counted_jobs();
        if counted * 2 < self.options.queue_max {
            return false;
        }
        let tier_index = self.backlogs[usize::from(job.class)].tier;
        let mut backlogs = self.backlogs.iter();
        if backlogs.any(|backlog| backlog.tier > tier_index && sheddable(backlog) > 0) {
            return false;
        }
        let tier = &self.flows.tiers[tier_index];
        let Some(team) = tier.teams.get(&job.team).map(|&key| &self.flows.teams[key]) else {
            return false;
        };
        if team.eligible == 0 {
            return false;
        }
        let part = team.weight / tier.active_weight.max(team.weight);
        let share = (self.options.queue_max as f64 * part) as usize;
        team.queued >= share.max(SHARE_MIN)
    }
}

/// Returns the number of queued jobs of a class that count towards `queue_max`.
fn sheddable(backlog: &backlog::Backlog) -> usize {
    let reserved = usize::from(backlog.tier > 0);
    backlog.queued().saturating_sub(reserved)
}

/// Queued jobs that every team may have, whatever its share.
const SHARE_MIN: usize = 8;
