use core::time;
use std::collections;

use crate::balancer;
use crate::demand;
use crate::key;
use crate::work;

/// Number of ranked endpoints for a prompt. Hosts that find the first one busy
/// choose the same second one.
const RANKED_MAX: usize = 4;

/// Hash key of the order in which engines are reserved for interactive work.
const INTERACTIVE_KEY: &str = "interactive";

/// Smallest range of positions over which engines change gradually from
/// interactive to bulk work. With a hard boundary, a small change of the demand
/// would move all work of an engine.
const RANGE_MIN: f64 = 0.05;

/// How the engines of a service are divided between interactive and bulk work,
/// as seen by one request.
#[derive(Debug)]
pub(crate) struct Partition {
    /// Share of the engines reserved for interactive work.
    pub(crate) share: f64,
    /// Engines reserved for the request's kind of work.
    pub(crate) reserved: rustc_hash::FxHashSet<key::Key>,
    /// Engines that rank first for the request's prompt, best first.
    pub(crate) ranked: Vec<key::Key>,
    positions: collections::HashMap<key::Key, Position>,
    /// The only engine for interactive work, if the share is smaller than one.
    sole: Option<key::Key>,
}

impl Partition {
    /// Returns the degree, from 0 to 1, to which the engine is reserved for the
    /// other kind of work.
    pub(crate) fn misplaced(&self, key: key::Key, work: &work::Work) -> f64 {
        match self.positions.get(&key) {
            Some(position) if work.prompt_tokens > 0 => {
                let bulk = match self.sole == Some(key) {
                    true => 0.0,
                    false => position.bulk(self.share),
                };
                if work.is_bulk() { 1.0 - bulk } else { bulk }
            }
            _ => 0.0,
        }
    }
}

/// Position of an engine in the order in which the engines of its data centre
/// are reserved for interactive work.
#[derive(Clone, Copy, Debug)]
struct Position {
    /// Centre of the engine's range, between 0 and 1.
    at: f64,
    /// Distance between neighbouring engines.
    step: f64,
}

impl Position {
    /// Returns the degree, from 0 to 1, to which the engine is reserved for bulk
    /// work, given the share of the engines for interactive work.
    fn bulk(self, share: f64) -> f64 {
        let range = (self.step * 1.25).max(RANGE_MIN);
        ((self.at - share) / range + 0.5).clamp(0.0, 1.0)
    }
}

impl balancer::Balancer {
    /// Divides engines between the kinds of work and ranks them for a prompt part.
    pub(crate) fn partition(
        &self,
        now: time::Duration,
        service: &str,
        work: &work::Work,
        part: Option<work::Part>,
        keys: &[key::Key],
    ) -> Partition {
        let positions = self.positions(keys);
        let share = self
            .demands
            .get(service)
            .map_or(demand::SHARE_DEFAULT, |demand| {
                demand.interactive_share(now, keys.len())
            });
        let has_interactive = self
            .demands
            .get(service)
            .is_some_and(|demand| demand.has_interactive(now));
        let sole = match has_interactive {
            true => self.sole_interactive(share, keys, &positions),
            false => None,
        };
        let is_bulk = |key: &key::Key| {
            let position = positions.get(key);
            sole != Some(*key) && position.is_none_or(|position| position.at >= share)
        };
        let placed: Vec<key::Key> = match work.is_bulk() && keys.iter().any(is_bulk) {
            true => keys.iter().copied().filter(is_bulk).collect(),
            false => keys.to_vec(),
        };
        let ranked = part.map_or_else(Vec::new, |part| self.ranked(part, &placed));
        let reserved = keys
            .iter()
            .copied()
            .filter(|key| is_bulk(key) == work.is_bulk())
            .collect();
        Partition {
            share,
            reserved,
            ranked,
            positions,
            sole,
        }
    }

    /// Returns the engine that is left to interactive work if the share leaves it
    /// none. All hosts with the same list choose the same one.
    fn sole_interactive(
        &self,
        share: f64,
        keys: &[key::Key],
        positions: &collections::HashMap<key::Key, Position>,
    ) -> Option<key::Key> {
        let is_left_out = positions.values().all(|position| position.at >= share);
        // A single engine serves both kinds of work.
        if !is_left_out || keys.len() < 2 {
            return None;
        }
        keys.iter().copied().min_by_key(|&key| {
            let id = &self.endpoints[key].listed.id;
            (::fleet::rank::score(id, INTERACTIVE_KEY), key)
        })
    }

    /// Returns the endpoints that rank first for a prompt part by rendezvous
    /// hashing. Hosts with the same list of endpoints get the same ranking without
    /// communication.
    pub(crate) fn ranked(&self, part: work::Part, keys: &[key::Key]) -> Vec<key::Key> {
        let name = part.id.to_string();
        let mut scored: Vec<_> = keys
            .iter()
            .map(|&key| {
                let score = ::fleet::rank::score(&self.endpoints[key].listed.id, &name);
                (core::cmp::Reverse(score), key)
            })
            .collect();
        scored.sort_unstable();
        scored
            .into_iter()
            .take(RANKED_MAX)
            .map(|(_, key)| key)
            .collect()
    }

    /// Assigns each endpoint a position among those of its data centre.
    fn positions(&self, keys: &[key::Key]) -> collections::HashMap<key::Key, Position> {
        let mut by_data_centre: collections::HashMap<&str, Vec<(u64, key::Key)>> =
            collections::HashMap::new();
        for &key in keys {
            let listed = &self.endpoints[key].listed;
            let score = ::fleet::rank::score(&listed.id, INTERACTIVE_KEY);
            let list = by_data_centre.entry(&listed.data_centre).or_default();
            list.push((score, key));
        }
        let mut positions = collections::HashMap::new();
        for list in by_data_centre.values_mut() {
            list.sort_unstable();
            let step = 1.0 / list.len() as f64;
            for (index, (_, key)) in list.iter().enumerate() {
                let at = (index as f64 + 0.5) * step;
                positions.insert(*key, Position { at, step });
            }
        }
        positions
    }
}
