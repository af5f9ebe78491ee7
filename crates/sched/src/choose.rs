use core::time;

use crate::lane;
use crate::pick;
use crate::place;
use crate::queue;
use crate::tag;
use crate::team;

/// Head of one line.
#[derive(Clone, Copy)]
struct Head {
    tag: tag::Tag,
    team: team::Key,
    line: u32,
}

impl<T> queue::Queue<T> {
    /// Returns the job whose turn it is among the lanes that have room.
    ///
    /// The job stays queued until [`queue::Queue::take`].
    pub fn pick(&mut self, now: time::Duration, lanes: lane::Lanes) -> Option<pick::Pick> {
        self.release(now);
        self.demote(now);
        if lanes.is_empty() || self.is_empty() {
            return None;
        }
        if let Some(key) = self.floor(now, lanes) {
            return Some(pick::Pick {
                key,
                is_floor: true,
            });
        }
        let tiers = 0..self.flows.tiers.len();
        let mut turns = tiers.flat_map(|tier| [(tier, false), (tier, true)]);
        let key = turns.find_map(|(tier, late)| {
            self.freshen(tier, lanes, late);
            self.fair(now, tier, lanes, late)
        })?;
        Some(pick::Pick {
            key,
            is_floor: false,
        })
    }

    fn freshen(&mut self, tier: usize, lanes: lane::Lanes, late: bool) {
        for class in 0..self.groups.len() {
            if self.groups[class].tier == tier {
                let lines = lanes
                    .iter()
                    .map(|lane| queue::line(class as u16, lane, late));
                lines.for_each(|line| self.flows.freshen(line));
            }
        }
    }

    /// Returns a job of the class that has starved longest, if one is due.
    fn floor(&self, now: time::Duration, lanes: lane::Lanes) -> Option<queue::Key> {
        let due = (0..self.groups.len()).filter(|&class| self.groups[class].due(now));
        let mut due: Vec<_> = due
            .filter_map(|class| {
                let heads = |late| self.heads(class, lanes, late).min_by_key(|head| head.tag);
                let head = heads(false).or_else(|| heads(true))?;
                Some((self.groups[class].starved_at(), head))
            })
            .collect();
        due.sort_by_key(|&(at, _)| at);
        let &(_, head) = due.first()?;
        Some(self.flows.front(head.line, head.team)?.key)
    }

    fn heads(&self, class: usize, lanes: lane::Lanes, late: bool) -> impl Iterator<Item = Head> {
        lanes.iter().filter_map(move |lane| {
            let line = queue::line(class as u16, lane, late);
            let (tag, team) = self.flows.head(line)?;
            Some(Head { tag, team, line })
        })
    }

    /// Returns the next job of a tier in weighted fair order, among those before
    /// or past their target.
    fn fair(
        &self,
        now: time::Duration,
        tier: usize,
        lanes: lane::Lanes,
        late: bool,
    ) -> Option<queue::Key> {
        let mut best: Option<(Head, Option<place::Place>)> = None;
        let classes = (0..self.groups.len()).filter(|&class| self.groups[class].tier == tier);
        for head in classes
            .clone()
            .flat_map(|class| self.heads(class, lanes, late))
        {
            let better = match &mut best {
                None => true,
                Some((other, _)) if head.tag != other.tag => head.tag < other.tag,
                // One team with several classes: the earlier deadline goes first.
                Some((other, place)) => {
                    let place = place.get_or_insert_with(|| self.place(other));
                    self.place(&head) < *place
                }
            };
            if better {
                best = Some((head, None));
            }
        }
        let (head, _) = best?;
        let urgent = classes.filter_map(|class| self.urgent(now, class, lanes, &head));
        let urgent = urgent.filter(|place| self.jobs[place.key].late == late);
        let first = urgent.min().map(|place| place.key);
        first.or_else(|| Some(self.flows.front(head.line, head.team)?.key))
    }

    fn place(&self, head: &Head) -> place::Place {
        let place = self.flows.front(head.line, head.team);
        place.expect("a team in a line has a job there")
    }

    /// Returns the earliest deadline of a class if it is about to pass and its
    /// team is within one request of equal service.
    fn urgent(
        &self,
        now: time::Duration,
        class: usize,
        lanes: lane::Lanes,
        least: &Head,
    ) -> Option<place::Place> {
        let &place = self.groups[class].deadlines.first()?;
        let (deadline, key) = (place.deadline(), place.key);
        let entry = &self.jobs[key];
        let total = deadline.saturating_sub(entry.at);
        if deadline.saturating_sub(now) > total / URGENT_PART || !lanes.contains(entry.job.lane) {
            return None;
        }
        if entry.job.ready_at > now {
            return None;
        }
        let team = &self.flows.teams[self.flows.callers[entry.caller].team];
        let lead = team.tag.0 - least.tag.0;
        (lead <= entry.job.cost / team.weight).then_some(place)
    }
}

/// A deadline is about to pass in the last part (one in this many) of its time.
const URGENT_PART: u32 = 4;
