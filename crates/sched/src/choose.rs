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
    pub fn next(&mut self, now: time::Duration, lanes: lane::Lanes) -> Option<pick::Pick> {
        self.release(now);
        if lanes.is_empty() || self.is_empty() {
            return None;
        }
        if let Some(key) = self.floor(now, lanes) {
            return Some(pick::Pick { key, floor: true });
        }
        let key = (0..self.flows.tiers.len()).find_map(|tier| {
            self.freshen(tier, lanes);
            self.fair(now, tier, lanes)
        })?;
        Some(pick::Pick { key, floor: false })
    }

    fn freshen(&mut self, tier: usize, lanes: lane::Lanes) {
        for class in 0..self.groups.len() {
            if self.groups[class].tier == tier {
                let lines = lanes.iter().map(|lane| queue::line(class as u16, lane));
                lines.for_each(|line| self.flows.freshen(line));
            }
        }
    }

    /// Returns a job of the class that has starved longest, if one is due.
    fn floor(&self, now: time::Duration, lanes: lane::Lanes) -> Option<queue::Key> {
        let due = (0..self.groups.len()).filter(|&class| self.groups[class].due(now));
        let mut due: Vec<_> = due
            .filter_map(|class| {
                let heads = self.heads(class, lanes);
                let head = heads.min_by_key(|head| head.tag)?;
                Some((self.groups[class].starved_at(), head))
            })
            .collect();
        due.sort_by_key(|&(at, _)| at);
        let &(_, head) = due.first()?;
        Some(self.flows.front(head.line, head.team)?.key)
    }

    fn heads(&self, class: usize, lanes: lane::Lanes) -> impl Iterator<Item = Head> {
        lanes.iter().filter_map(move |lane| {
            let line = queue::line(class as u16, lane);
            let (tag, team) = self.flows.head(line)?;
            Some(Head { tag, team, line })
        })
    }

    /// Returns the next job of a tier in weighted fair order.
    fn fair(&self, now: time::Duration, tier: usize, lanes: lane::Lanes) -> Option<queue::Key> {
        let mut best: Option<(Head, Option<place::Place>)> = None;
        let classes = (0..self.groups.len()).filter(|&class| self.groups[class].tier == tier);
        for head in classes.clone().flat_map(|class| self.heads(class, lanes)) {
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
        let urgent = classes.filter_map(|class| self.urgent(now, class, lanes, head.tag));
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
        least: tag::Tag,
    ) -> Option<place::Place> {
        let &place = self.groups[class].deadlines.first()?;
        let (deadline, key) = (place.deadline(), place.key);
        let entry = &self.jobs[key];
        let total = deadline.saturating_sub(entry.at);
        if deadline.saturating_sub(now) > total / URGENT_PART || !lanes.has(entry.job.lane) {
            return None;
        }
        if entry.job.ready > now {
            return None;
        }
        let team = &self.flows.teams[self.flows.callers[entry.caller].team];
        let lead = team.tag.0 - least.0;
        (lead <= entry.job.cost / team.weight).then_some(place)
    }
}

/// A deadline is about to pass in the last part (one in this many) of its time.
const URGENT_PART: u32 = 4;
