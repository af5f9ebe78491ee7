use core::time;

use rand::RngExt;

use crate::endpoint;
use crate::request;
use crate::run;
use crate::table;

impl table::Table {
    /// Returns whether some endpoint has room for this kind of request.
    pub fn has_room(&self, need: request::Need) -> bool {
        self.open[need.index()] > 0 && (!need.is_long || self.long_room())
    }

    /// Returns whether the shard as a whole may take another long request.
    ///
    /// The bound per endpoint alone would let long requests hold every
    /// endpoint that has a single place.
    fn long_room(&self) -> bool {
        self.long < endpoint::long_places(self.places, self.options.long_share)
    }

    /// Chooses an endpoint with room and gives the request a place there.
    ///
    /// The endpoint with the least load for its capacity is chosen. A prefix
    /// that ran on an endpoint before makes up for some load there.
    pub fn grant(&mut self, now: time::Duration, work: request::Request) -> Option<run::Key> {
        if !self.has_room(work.need) {
            return None;
        }
        let key = self.best(&work)?;
        Some(self.place(now, key, work))
    }

    /// Returns the mean time to first token of a class in seconds.
    pub fn mean_time_to_first_token(&self, class: usize) -> Option<f64> {
        self.firsts.get(class)?.mean()
    }

    /// Returns how many endpoints are ejected for slowness.
    pub fn ejected_count(&self) -> usize {
        let endpoints = self.endpoints.values();
        endpoints
            .filter(|endpoint| endpoint.speed.ejected())
            .count()
    }

    fn best(&mut self, work: &request::Request) -> Option<endpoint::Key> {
        let bit = 1 << work.need.index();
        let near = match work.prefix_hash {
            0 => None,
            prefix => self.prefixes.get(&prefix).copied(),
        };
        let avoid = work.avoid.and_then(|id| self.index.get(&id).copied());
        let mut best = None;
        let mut least = f32::INFINITY;
        for hot in self.hot.iter().filter(|hot| hot.room & bit != 0) {
            let mut score = (hot.load + 1.0) / hot.capacity;
            score += self.rng.random::<f32>() * TIE;
            if Some(hot.key) == near {
                score -= PREFIX_BONUS;
            }
            if Some(hot.key) == avoid {
                score += AVOID_PENALTY;
            }
            if score < least {
                least = score;
                best = Some(hot.key);
            }
        }
        best
    }

    pub(crate) fn remember(&mut self, prefix: u64, key: endpoint::Key) {
        if prefix == 0 || self.prefixes.insert(prefix, key).is_some() {
            return;
        }
        self.prefix_order.push_back(prefix);
        if self.prefix_order.len() > PREFIXES_MAX
            && let Some(old) = self.prefix_order.pop_front()
        {
            self.prefixes.remove(&old);
        }
    }
}

/// Random part of a score, which breaks ties between equal endpoints.
const TIE: f32 = 0.01;

/// Share of an endpoint's capacity that a known prefix makes up for.
const PREFIX_BONUS: f32 = 0.25;

/// Penalty of the endpoint of the last failed attempt, above any load.
const AVOID_PENALTY: f32 = 1_000.0;

/// Prefixes that are remembered (about 40 bytes each).
const PREFIXES_MAX: usize = 4_096;
