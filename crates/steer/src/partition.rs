use core::time;
use std::collections;

use crate::balancer;
use crate::demand;
use crate::key;
use crate::work;

/// Endpoints in whose order a prompt is placed. Hosts that find the first one
/// busy choose the same second one.
const RANKED: usize = 4;

/// Key under which engines are ranked for interactive work.
const INTERACTIVE: &str = "interactive";

/// Least range of positions in which an engine passes from interactive to bulk
/// work. A small change of the demand would otherwise move all its work.
const RANGE_MIN: f64 = 0.05;

/// How the engines of a service are partitioned between kinds of work, for a request.
#[derive(Debug)]
pub(crate) struct Partition {
    /// Share that is kept for interactive work.
    pub(crate) share: f64,
    /// Engines that are kept for the kind of work of the request.
    pub(crate) meant: rustc_hash::FxHashSet<key::Key>,
    /// Engines that rank first for its prompt.
    pub(crate) ranked: Vec<key::Key>,
    positions: collections::HashMap<key::Key, Position>,
}

impl Partition {
    /// Returns how much the engine is kept for the other kind of work, from 0
    /// to 1.
    pub(crate) fn misplaced(&self, key: key::Key, work: &work::Work) -> f64 {
        match self.positions.get(&key) {
            Some(position) if work.prompt_tokens > 0 => {
                let bulk = position.bulk(self.share);
                if work.is_bulk() { 1.0 - bulk } else { bulk }
            }
            _ => 0.0,
        }
    }
}

/// Where an engine stands in the order in which those of its data centre take
/// interactive work.
#[derive(Clone, Copy, Debug)]
struct Position {
    /// Between 0 and 1.
    at: f64,
    /// Distance to the next engine.
    step: f64,
}

impl Position {
    /// Returns how much the engine is kept for bulk work, from 0 to 1, if
    /// interactive work has this share of the engines.
    fn bulk(self, share: f64) -> f64 {
        let range = (self.step * 1.25).max(RANGE_MIN);
        ((self.at - share) / range + 0.5).clamp(0.0, 1.0)
    }
}

impl balancer::Balancer {
    /// Returns how engines are partitioned between kinds of work.
    pub(crate) fn partition(
        &self,
        now: time::Duration,
        service: &str,
        work: &work::Work,
        keys: &[key::Key],
    ) -> Partition {
        let positions = self.positions(keys);
        let share = self
            .demands
            .get(service)
            .map_or(demand::SHARE_DEFAULT, |demand| {
                demand.interactive_share(now, keys.len())
            });
        let is_bulk = |key: &key::Key| {
            let position = positions.get(key);
            position.is_none_or(|position| position.at >= share)
        };
        let placed: Vec<key::Key> = match work.is_bulk() && keys.iter().any(is_bulk) {
            true => keys.iter().copied().filter(is_bulk).collect(),
            false => keys.to_vec(),
        };
        let ranked = work
            .placement()
            .map_or_else(Vec::new, |part| self.ranked(part, &placed));
        let meant = keys
            .iter()
            .copied()
            .filter(|key| is_bulk(key) == work.is_bulk())
            .collect();
        Partition {
            share,
            meant,
            ranked,
            positions,
        }
    }

    /// Returns the endpoints that rank first for a prompt part, the same on
    /// every host.
    fn ranked(&self, part: work::Part, keys: &[key::Key]) -> Vec<key::Key> {
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
            .take(RANKED)
            .map(|(_, key)| key)
            .collect()
    }

    /// Returns the positions of endpoints.
    fn positions(&self, keys: &[key::Key]) -> collections::HashMap<key::Key, Position> {
        let mut by_data_centre: collections::HashMap<&str, Vec<(u64, key::Key)>> =
            collections::HashMap::new();
        for &key in keys {
            let listed = &self.endpoints[key].listed;
            let score = ::fleet::rank::score(&listed.id, INTERACTIVE);
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
