use core::time;

use crate::lane;
use crate::pick;
use crate::position;
use crate::queue;
use crate::tag;
use crate::team;

/// First team of one subqueue.
#[derive(Clone, Copy)]
struct Head {
    tag: tag::Tag,
    team: team::Key,
    subqueue: u32,
}

impl<T> queue::Queue<T> {
    /// Returns the next job to serve among the lanes that have room.
    ///
    /// The job stays queued until [`queue::Queue::take`].
    pub fn pick(&mut self, now: time::Duration, lanes: lane::Lanes) -> Option<pick::Pick> {
        self.release_held(now);
        self.demote(now);
        if lanes.is_empty() || self.is_empty() {
            return None;
        }
        if let Some(key) = self.pick_floor(now, lanes) {
            return Some(pick::Pick {
                key,
                is_floor: true,
            });
        }
        let tiers = 0..self.flows.tiers.len();
        let mut turns = tiers.flat_map(|tier| [(tier, false), (tier, true)]);
        let key = turns.find_map(|(tier, late)| {
            self.apply_charges(tier, lanes, late);
            self.pick_fair(now, tier, lanes, late)
        })?;
        Some(pick::Pick {
            key,
            is_floor: false,
        })
    }

    /// Applies pending charges at the heads of the subqueues of a tier.
    fn apply_charges(&mut self, tier: usize, lanes: lane::Lanes, late: bool) {
        for class in 0..self.backlogs.len() {
            if self.backlogs[class].tier == tier {
                let subqueues = lanes
                    .iter()
                    .map(|lane| queue::subqueue(class as u16, lane, late));
                subqueues.for_each(|subqueue| self.flows.apply_charges(subqueue));
            }
        }
    }

    /// Returns a job of the class whose floor has been due for longest, if any.
    fn pick_floor(&self, now: time::Duration, lanes: lane::Lanes) -> Option<queue::Key> {
        let due = (0..self.backlogs.len()).filter(|&class| self.backlogs[class].is_floor_due(now));
        let mut due: Vec<_> = due
            .filter_map(|class| {
                let heads = |late| self.heads(class, lanes, late).min_by_key(|head| head.tag);
                let head = heads(false).or_else(|| heads(true))?;
                Some((self.backlogs[class].starved_at(), head))
            })
            .collect();
        due.sort_by_key(|&(at, _)| at);
        let &(_, head) = due.first()?;
        Some(self.flows.next_job(head.subqueue, head.team)?.key)
    }

    fn heads(&self, class: usize, lanes: lane::Lanes, late: bool) -> impl Iterator<Item = Head> {
        lanes.iter().filter_map(move |lane| {
            let subqueue = queue::subqueue(class as u16, lane, late);
            let (tag, team) = self.flows.first_team(subqueue)?;
            Some(Head {
                tag,
                team,
                subqueue,
            })
        })
    }

    /// Returns the next job of a tier in weighted fair order, among the jobs
    /// before their target or, if `late`, those past it.
    fn pick_fair(
        &self,
        now: time::Duration,
        tier: usize,
        lanes: lane::Lanes,
        late: bool,
    ) -> Option<queue::Key> {
        let mut best: Option<(Head, Option<position::Position>)> = None;
        let classes = (0..self.backlogs.len()).filter(|&class| self.backlogs[class].tier == tier);
        for head in classes
            .clone()
            .flat_map(|class| self.heads(class, lanes, late))
        {
            let is_better = match &mut best {
                None => true,
                Some((other, _)) if head.tag != other.tag => head.tag < other.tag,
                // Between equal tags, such as those of one team with several
                // classes, the earlier deadline is served first.
                Some((other, position)) => {
                    let position = position.get_or_insert_with(|| self.position(other));
                    self.position(&head) < *position
                }
            };
            if is_better {
                best = Some((head, None));
            }
        }
        let (head, _) = best?;
        let urgent = classes.filter_map(|class| self.urgent(now, class, lanes, &head));
        let urgent = urgent.filter(|position| self.jobs[position.key].is_late == late);
        let first = urgent.min().map(|position| position.key);
        first.or_else(|| Some(self.flows.next_job(head.subqueue, head.team)?.key))
    }

    fn position(&self, head: &Head) -> position::Position {
        let position = self.flows.next_job(head.subqueue, head.team);
        position.expect("a team in a subqueue has a job there")
    }

    /// Returns the job of a class with the earliest deadline if that is about to
    /// pass and the team is at most one request ahead of the fair order.
    fn urgent(
        &self,
        now: time::Duration,
        class: usize,
        lanes: lane::Lanes,
        least: &Head,
    ) -> Option<position::Position> {
        let &position = self.backlogs[class].deadlines.first()?;
        let (deadline, key) = (position.deadline(), position.key);
        let entry = &self.jobs[key];
        let total = deadline.saturating_sub(entry.queued_at);
        if deadline.saturating_sub(now) > total / URGENT_DIVISOR || !lanes.contains(entry.job.lane)
        {
            return None;
        }
        if entry.job.ready_at > now {
            return None;
        }
        let team = &self.flows.teams[self.flows.callers[entry.caller].team];
        let lead = team.tag.0 - least.tag.0;
        (lead <= entry.job.cost / team.weight).then_some(position)
    }
}

/// Fraction, one in this many, of the time from arrival to deadline in which the
/// deadline counts as about to pass.
const URGENT_DIVISOR: u32 = 4;
