use std::collections;

use crate::caller;
use crate::lines;
use crate::place;
use crate::tag;
use crate::team;
use crate::tier;

/// Weighted fair order of teams, and of callers within each team.
#[derive(Debug, Default)]
pub(crate) struct Flows {
    pub(crate) tiers: Vec<tier::Tier>,
    pub(crate) teams: slotmap::SlotMap<team::Key, team::Team>,
    pub(crate) callers: slotmap::SlotMap<caller::Key, caller::Caller>,
    /// Teams by virtual time, for each line.
    lines: Vec<collections::BTreeSet<(tag::Tag, team::Key)>>,
}

impl Flows {
    /// Forgets every flow. Keys that are still held become invalid.
    pub(crate) fn reset(&mut self, tiers: Vec<tier::Tier>, lines: usize) {
        self.tiers = tiers;
        self.teams.clear();
        self.callers.clear();
        self.lines = vec![collections::BTreeSet::new(); lines];
    }

    /// Returns the flow of a caller and holds it until [`Flows::leave`].
    pub(crate) fn enter(&mut self, tier: usize, team: (u32, f64), id: u64) -> caller::Key {
        let team = self.team(tier, team.0, team.1);
        let state = &mut self.teams[team];
        state.refs += 1;
        state.queued += 1;
        let system = state.system;
        let key = *state.callers.entry(id).or_insert_with(|| {
            self.callers.insert(caller::Caller {
                id,
                team,
                tag: system,
                debt: 0.0,
                idle: false,
                refs: 0,
                linked: 0,
                cost: 0.0,
                lines: lines::Lines::new(),
            })
        });
        self.callers[key].refs += 1;
        key
    }

    fn team(&mut self, tier: usize, id: u32, weight: f64) -> team::Key {
        let state = &mut self.tiers[tier];
        let system = state.system;
        let key = *state.index.entry(id).or_insert_with(|| {
            self.teams.insert(team::Team {
                id,
                tier,
                weight,
                tag: system,
                debt: 0.0,
                system: tag::Tag::default(),
                refs: 0,
                queued: 0,
                linked: 0,
                active: 0,
                cost: 0.0,
                lines: lines::Lines::new(),
                callers: rustc_hash::FxHashMap::default(),
                idle: collections::VecDeque::new(),
            })
        });
        let flow = &self.teams[key];
        if flow.refs == 0 {
            state.idle.remove(&(flow.tag, key));
        }
        key
    }

    /// Makes a job eligible.
    pub(crate) fn link(&mut self, line: u32, key: caller::Key, place: place::Place, cost: f64) {
        let flow = &mut self.callers[key];
        let team_key = flow.team;
        let team = &mut self.teams[team_key];
        let tier = &mut self.tiers[team.tier];
        if team.linked == 0 {
            team.tag = team.tag.later(tier.system);
            tier.weight += team.weight;
            tier.active += 1;
        }
        if flow.linked == 0 {
            flow.tag = flow.tag.later(team.system);
            team.active += 1;
        }
        flow.linked += 1;
        flow.cost += cost;
        team.linked += 1;
        team.cost += cost;
        if flow.lines.insert(line, place) && team.lines.insert(line, (flow.tag, key)) {
            self.lines[line as usize].insert((team.tag, team_key));
        }
    }

    /// Makes a job ineligible again.
    pub(crate) fn unlink(&mut self, line: u32, key: caller::Key, place: place::Place, cost: f64) {
        let flow = &mut self.callers[key];
        let team_key = flow.team;
        let team = &mut self.teams[team_key];
        flow.linked -= 1;
        flow.cost = if flow.linked == 0 {
            0.0
        } else {
            flow.cost - cost
        };
        team.linked -= 1;
        team.cost = if team.linked == 0 {
            0.0
        } else {
            team.cost - cost
        };
        if flow.linked == 0 {
            team.active -= 1;
        }
        if team.linked == 0 {
            let tier = &mut self.tiers[team.tier];
            tier.active -= 1;
            tier.weight = (tier.weight - team.weight).max(0.0);
        }
        if flow.lines.remove(line, place) && team.lines.remove(line, (flow.tag, key)) {
            self.lines[line as usize].remove(&(team.tag, team_key));
        }
    }

    /// Returns the team of a line that received the least service.
    pub(crate) fn head(&self, line: u32) -> Option<(tag::Tag, team::Key)> {
        self.lines[line as usize].first().copied()
    }

    /// Returns the next job of a team in a line.
    pub(crate) fn front(&self, line: u32, team: team::Key) -> Option<place::Place> {
        let (_, caller) = self.teams[team].lines.first(line)?;
        self.callers[caller].lines.first(line)
    }

    /// Advances the virtual times to the flow that is served in its fair turn.
    pub(crate) fn advance(&mut self, key: caller::Key) {
        let flow = &self.callers[key];
        let team = &mut self.teams[flow.team];
        let tier = &mut self.tiers[team.tier];
        team.system = team.system.later(flow.tag);
        tier.system = tier.system.later(team.tag);
    }

    /// Charges a flow for service, corrections included.
    pub(crate) fn charge(&mut self, key: caller::Key, cost: f64) {
        let flow = &mut self.callers[key];
        let team = flow.team;
        flow.debt += cost;
        self.teams[team].debt += cost;
        self.apply_caller(key);
        self.apply_team(team);
    }

    /// Corrects the charge of a flow; a negative cost is a refund.
    ///
    /// A flow that waits is moved when it is next served or comes to the head
    /// of its line, which saves most of the moves. A refund therefore counts
    /// from the next service on.
    pub(crate) fn correct(&mut self, key: caller::Key, cost: f64) {
        let flow = &mut self.callers[key];
        let team_key = flow.team;
        flow.debt += cost;
        if flow.linked == 0 {
            self.apply_caller(key);
        }
        let team = &mut self.teams[team_key];
        team.debt += cost;
        if team.linked == 0 {
            self.apply_team(team_key);
        }
    }

    /// Makes sure that the head of a line has no correction outstanding.
    pub(crate) fn freshen(&mut self, line: u32) {
        while let Some((_, team)) = self.head(line) {
            if self.teams[team].debt > 0.0 {
                self.apply_team(team);
                continue;
            }
            match self.teams[team].lines.first(line) {
                Some((_, caller)) if self.callers[caller].debt > 0.0 => self.apply_caller(caller),
                _ => return,
            }
        }
    }

    fn apply_caller(&mut self, key: caller::Key) {
        let flow = &mut self.callers[key];
        let team = &mut self.teams[flow.team];
        let (old, new) = (flow.tag, flow.tag.plus(flow.debt));
        for line in flow.lines.occupied() {
            team.lines.replace(line, (old, key), (new, key));
        }
        flow.tag = new;
        flow.debt = 0.0;
    }

    fn apply_team(&mut self, key: team::Key) {
        let team = &mut self.teams[key];
        let (old, new) = (team.tag, team.tag.plus(team.debt / team.weight));
        for line in team.lines.occupied() {
            let set = &mut self.lines[line as usize];
            set.remove(&(old, key));
            set.insert((new, key));
        }
        team.tag = new;
        team.debt = 0.0;
    }

    /// Releases a flow; it is forgotten once others have caught up with it.
    pub(crate) fn leave(&mut self, key: caller::Key) {
        let flow = &mut self.callers[key];
        let team_key = flow.team;
        let team = &mut self.teams[team_key];
        flow.refs -= 1;
        if flow.refs == 0 && !flow.idle {
            flow.idle = true;
            team.idle.push_back(key);
        }
        team.refs -= 1;
        while let Some(&old) = team.idle.front() {
            let flow = &mut self.callers[old];
            if flow.refs > 0 {
                flow.idle = false;
                team.idle.pop_front();
                continue;
            }
            if flow.tag > team.system && team.idle.len() <= CALLERS_IDLE_MAX {
                break;
            }
            team.idle.pop_front();
            if let Some(gone) = self.callers.remove(old) {
                team.callers.remove(&gone.id);
            }
        }
        if team.refs == 0 {
            self.idle(team_key);
        }
    }

    fn idle(&mut self, key: team::Key) {
        let team = &self.teams[key];
        let tier = &mut self.tiers[team.tier];
        tier.idle.insert((team.tag, key));
        while let Some(&(tag, old)) = tier.idle.first() {
            if tag > tier.system && tier.idle.len() <= TEAMS_IDLE_MAX {
                break;
            }
            tier.idle.pop_first();
            let Some(gone) = self.teams.remove(old) else {
                continue;
            };
            tier.index.remove(&gone.id);
            // In key order: reused keys break ties, and runs must be repeatable.
            let mut callers: Vec<_> = gone.callers.into_values().collect();
            callers.sort_unstable();
            for caller in callers {
                self.callers.remove(caller);
            }
        }
    }

    /// Changes the weights of the teams.
    pub(crate) fn reweigh(&mut self, weight: impl Fn(u32) -> f64) {
        for team in self.teams.values_mut() {
            let new = weight(team.id);
            if team.linked > 0 {
                let tier = &mut self.tiers[team.tier];
                tier.weight = (tier.weight - team.weight + new).max(0.0);
            }
            team.weight = new;
        }
    }

    /// Returns the tokens that the tier serves before a new job of this caller,
    /// which is before its target and costs `cost`.
    pub(crate) fn ahead(&self, tier: usize, id: u32, weight: f64, caller: u64, cost: f64) -> f64 {
        let state = &self.tiers[tier];
        let queued = (state.cost - state.late).max(0.0);
        // Half of the other teams have a job with an earlier start.
        let ties = state.active as f64 * cost / 2.0;
        let team = state.index.get(&id).and_then(|&key| self.teams.get(key));
        let Some(team) = team else {
            return ties.min(queued);
        };
        let flow = team.callers.get(&caller);
        let own = match flow.and_then(|&key| self.callers.get(key)) {
            Some(flow) => {
                let lead = (flow.tag.later(team.system).0 - team.system.0 + flow.cost).max(0.0);
                (lead * team.active.max(1) as f64).min(team.cost)
            }
            None => 0.0,
        };
        let lead = team.tag.later(state.system).0 - state.system.0 + own / weight;
        let active = if team.linked == 0 { weight } else { 0.0 };
        (lead * (state.weight + active) + ties).clamp(0.0, queued)
    }
}

/// Idle callers that a team remembers beyond its virtual time.
const CALLERS_IDLE_MAX: usize = 256;

/// Idle teams that a tier remembers beyond its virtual time.
const TEAMS_IDLE_MAX: usize = 4_096;
