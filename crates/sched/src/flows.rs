use std::collections;

use crate::caller;
use crate::position;
use crate::subqueue;
use crate::tag;
use crate::team;
use crate::tier;

/// Weighted fair queueing of the teams of each tier, and of the callers of each
/// team.
#[derive(Debug, Default)]
pub(crate) struct Flows {
    pub(crate) tiers: Vec<tier::Tier>,
    pub(crate) teams: slotmap::SlotMap<team::Key, team::Team>,
    pub(crate) callers: slotmap::SlotMap<caller::Key, caller::Caller>,
    /// Teams by tag, for each subqueue.
    subqueues: Vec<collections::BTreeSet<(tag::Tag, team::Key)>>,
}

impl Flows {
    /// Removes every flow. Keys that are still held become invalid.
    pub(crate) fn reset(&mut self, tiers: Vec<tier::Tier>, subqueues: usize) {
        self.tiers = tiers;
        self.teams.clear();
        self.callers.clear();
        self.subqueues = vec![collections::BTreeSet::new(); subqueues];
    }

    /// Returns the flow of a caller for a new job and keeps it until
    /// [`Flows::release`].
    pub(crate) fn acquire(&mut self, tier: usize, team: (u32, f64), id: u64) -> caller::Key {
        let team = self.team(tier, team.0, team.1);
        let state = &mut self.teams[team];
        state.open_jobs += 1;
        state.queued += 1;
        let virtual_time = state.virtual_time;
        let key = *state.callers.entry(id).or_insert_with(|| {
            self.callers.insert(caller::Caller {
                id,
                team,
                tag: virtual_time,
                pending_charge: 0.0,
                is_idle: false,
                open_jobs: 0,
                eligible: 0,
                cost: 0.0,
                subqueues: subqueue::Set::new(),
            })
        });
        self.callers[key].open_jobs += 1;
        key
    }

    fn team(&mut self, tier: usize, id: u32, weight: f64) -> team::Key {
        let state = &mut self.tiers[tier];
        let virtual_time = state.virtual_time;
        let key = *state.teams.entry(id).or_insert_with(|| {
            self.teams.insert(team::Team {
                id,
                tier,
                weight,
                tag: virtual_time,
                pending_charge: 0.0,
                virtual_time: tag::Tag::default(),
                open_jobs: 0,
                queued: 0,
                eligible: 0,
                active_callers: 0,
                cost: 0.0,
                subqueues: subqueue::Set::new(),
                callers: rustc_hash::FxHashMap::default(),
                idle_callers: collections::VecDeque::new(),
            })
        });
        let flow = &self.teams[key];
        if flow.open_jobs == 0 {
            state.idle_teams.remove(&(flow.tag, key));
        }
        key
    }

    /// Adds an eligible job.
    pub(crate) fn add_job(
        &mut self,
        subqueue: u32,
        key: caller::Key,
        position: position::Position,
        cost: f64,
    ) {
        let flow = &mut self.callers[key];
        let team_key = flow.team;
        let team = &mut self.teams[team_key];
        let tier = &mut self.tiers[team.tier];
        if team.eligible == 0 {
            team.tag = team.tag.later(tier.virtual_time);
            tier.active_weight += team.weight;
            tier.active_teams += 1;
        }
        if flow.eligible == 0 {
            flow.tag = flow.tag.later(team.virtual_time);
            team.active_callers += 1;
        }
        flow.eligible += 1;
        flow.cost += cost;
        team.eligible += 1;
        team.cost += cost;
        if flow.subqueues.insert(subqueue, position)
            && team.subqueues.insert(subqueue, (flow.tag, key))
        {
            self.subqueues[subqueue as usize].insert((team.tag, team_key));
        }
    }

    /// Removes an eligible job.
    pub(crate) fn remove_job(
        &mut self,
        subqueue: u32,
        key: caller::Key,
        position: position::Position,
        cost: f64,
    ) {
        let flow = &mut self.callers[key];
        let team_key = flow.team;
        let team = &mut self.teams[team_key];
        flow.eligible -= 1;
        flow.cost = if flow.eligible == 0 {
            0.0
        } else {
            flow.cost - cost
        };
        team.eligible -= 1;
        team.cost = if team.eligible == 0 {
            0.0
        } else {
            team.cost - cost
        };
        if flow.eligible == 0 {
            team.active_callers -= 1;
        }
        if team.eligible == 0 {
            let tier = &mut self.tiers[team.tier];
            tier.active_teams -= 1;
            tier.active_weight = (tier.active_weight - team.weight).max(0.0);
        }
        if flow.subqueues.remove(subqueue, position)
            && team.subqueues.remove(subqueue, (flow.tag, key))
        {
            self.subqueues[subqueue as usize].remove(&(team.tag, team_key));
        }
    }

    /// Returns the team of a subqueue that received the least service for its
    /// weight.
    pub(crate) fn first_team(&self, subqueue: u32) -> Option<(tag::Tag, team::Key)> {
        self.subqueues[subqueue as usize].first().copied()
    }

    /// Returns the next job of a team in a subqueue.
    pub(crate) fn next_job(&self, subqueue: u32, team: team::Key) -> Option<position::Position> {
        let (_, caller) = self.teams[team].subqueues.first(subqueue)?;
        self.callers[caller].subqueues.first(subqueue)
    }

    /// Advances the virtual times to the tags of a flow that is served in fair
    /// order.
    pub(crate) fn advance(&mut self, key: caller::Key) {
        let flow = &self.callers[key];
        let team = &mut self.teams[flow.team];
        let tier = &mut self.tiers[team.tier];
        team.virtual_time = team.virtual_time.later(flow.tag);
        tier.virtual_time = tier.virtual_time.later(team.tag);
    }

    /// Charges a flow for service and applies pending corrections.
    pub(crate) fn charge(&mut self, key: caller::Key, cost: f64) {
        let flow = &mut self.callers[key];
        let team = flow.team;
        flow.pending_charge += cost;
        self.teams[team].pending_charge += cost;
        self.apply_caller(key);
        self.apply_team(team);
    }

    /// Corrects the charge of a flow; a negative cost is a refund.
    ///
    /// A flow with eligible jobs is moved only when it is next served or comes
    /// to the head of its subqueue, which saves most of the moves. A refund
    /// therefore takes effect at the next service.
    pub(crate) fn correct(&mut self, key: caller::Key, cost: f64) {
        let flow = &mut self.callers[key];
        let team_key = flow.team;
        flow.pending_charge += cost;
        if flow.eligible == 0 {
            self.apply_caller(key);
        }
        let team = &mut self.teams[team_key];
        team.pending_charge += cost;
        if team.eligible == 0 {
            self.apply_team(team_key);
        }
    }

    /// Applies pending charges until the first team of a subqueue and its first
    /// caller have none. Pending refunds stay.
    pub(crate) fn apply_charges(&mut self, subqueue: u32) {
        while let Some((_, team)) = self.first_team(subqueue) {
            if self.teams[team].pending_charge > 0.0 {
                self.apply_team(team);
                continue;
            }
            match self.teams[team].subqueues.first(subqueue) {
                Some((_, caller)) if self.callers[caller].pending_charge > 0.0 => {
                    self.apply_caller(caller)
                }
                _ => return,
            }
        }
    }

    fn apply_caller(&mut self, key: caller::Key) {
        let flow = &mut self.callers[key];
        let team = &mut self.teams[flow.team];
        let (old, new) = (flow.tag, flow.tag.plus(flow.pending_charge));
        for subqueue in flow.subqueues.occupied() {
            team.subqueues.replace(subqueue, (old, key), (new, key));
        }
        flow.tag = new;
        flow.pending_charge = 0.0;
    }

    fn apply_team(&mut self, key: team::Key) {
        let team = &mut self.teams[key];
        let (old, new) = (team.tag, team.tag.plus(team.pending_charge / team.weight));
        for subqueue in team.subqueues.occupied() {
            let set = &mut self.subqueues[subqueue as usize];
            set.remove(&(old, key));
            set.insert((new, key));
        }
        team.tag = new;
        team.pending_charge = 0.0;
    }

    /// Releases a flow after a job has ended. An idle flow is removed once the
    /// virtual time has reached its tag.
    pub(crate) fn release(&mut self, key: caller::Key) {
        let flow = &mut self.callers[key];
        let team_key = flow.team;
        let team = &mut self.teams[team_key];
        flow.open_jobs -= 1;
        if flow.open_jobs == 0 && !flow.is_idle {
            flow.is_idle = true;
            team.idle_callers.push_back(key);
        }
        team.open_jobs -= 1;
        while let Some(&old) = team.idle_callers.front() {
            let flow = &mut self.callers[old];
            if flow.open_jobs > 0 {
                flow.is_idle = false;
                team.idle_callers.pop_front();
                continue;
            }
            if flow.tag > team.virtual_time && team.idle_callers.len() <= CALLERS_IDLE_MAX {
                break;
            }
            team.idle_callers.pop_front();
            if let Some(evicted) = self.callers.remove(old) {
                team.callers.remove(&evicted.id);
            }
        }
        if team.open_jobs == 0 {
            self.retire_team(team_key);
        }
    }

    /// Marks a team as idle and removes idle teams whose tag the virtual time has
    /// reached.
    fn retire_team(&mut self, key: team::Key) {
        let team = &self.teams[key];
        let tier = &mut self.tiers[team.tier];
        tier.idle_teams.insert((team.tag, key));
        while let Some(&(tag, old)) = tier.idle_teams.first() {
            if tag > tier.virtual_time && tier.idle_teams.len() <= TEAMS_IDLE_MAX {
                break;
            }
            tier.idle_teams.pop_first();
            let Some(evicted) = self.teams.remove(old) else {
                continue;
            };
            tier.teams.remove(&evicted.id);
            // In key order, because reused keys break ties and runs must be
            // repeatable.
            let mut callers: Vec<_> = evicted.callers.into_values().collect();
            callers.sort_unstable();
            for caller in callers {
                self.callers.remove(caller);
            }
        }
    }

    /// Replaces the weights of the teams.
    pub(crate) fn set_weights(&mut self, weight: impl Fn(u32) -> f64) {
        for team in self.teams.values_mut() {
            let new = weight(team.id);
            if team.eligible > 0 {
                let tier = &mut self.tiers[team.tier];
                tier.active_weight = (tier.active_weight - team.weight + new).max(0.0);
            }
            team.weight = new;
        }
    }

    /// Estimates the tokens that the tier serves before a new job of this caller
    /// that costs `cost` tokens and is not past its target.
    pub(crate) fn tokens_ahead(
        &self,
        tier: usize,
        id: u32,
        weight: f64,
        caller: u64,
        cost: f64,
    ) -> f64 {
        let state = &self.tiers[tier];
        let queued = (state.cost - state.late_cost).max(0.0);
        // On average, half of the other teams have a job with an earlier tag.
        let ties = state.active_teams as f64 * cost / 2.0;
        let team = state.teams.get(&id).and_then(|&key| self.teams.get(key));
        let Some(team) = team else {
            return ties.min(queued);
        };
        let flow = team.callers.get(&caller);
        let own = match flow.and_then(|&key| self.callers.get(key)) {
            Some(flow) => {
                let lead = (flow.tag.later(team.virtual_time).0 - team.virtual_time.0 + flow.cost)
                    .max(0.0);
                (lead * team.active_callers.max(1) as f64).min(team.cost)
            }
            None => 0.0,
        };
        let lead = team.tag.later(state.virtual_time).0 - state.virtual_time.0 + own / weight;
        let active = if team.eligible == 0 { weight } else { 0.0 };
        (lead * (state.active_weight + active) + ties).clamp(0.0, queued)
    }
}

/// Idle callers that a team keeps although their tags are ahead of its virtual
/// time.
const CALLERS_IDLE_MAX: usize = 256;

/// Idle teams that a tier keeps although their tags are ahead of its virtual
/// time.
const TEAMS_IDLE_MAX: usize = 4_096;
