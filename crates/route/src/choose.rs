use core::time;

use rand::RngExt;

use crate::endpoint;
use crate::request;
use crate::run;
use crate::table;

impl table::Table {
    /// Returns whether some endpoint has room for this kind of request.
    pub fn has_room(&self, need: request::Need) -> bool {
        self.open_endpoints[need.index()] > 0 && (!need.is_long || self.has_long_room())
    }

    /// Returns whether the shard as a whole has room for another long request.
    ///
    /// The limit per endpoint alone would let long requests occupy every
    /// endpoint that has a single slot.
    fn has_long_room(&self) -> bool {
        self.long < endpoint::long_slots(self.own_limit, self.options.long_share)
    }

    /// Chooses an endpoint with room and gives the request a slot there; returns
    /// `None` if no endpoint has room.
    ///
    /// The endpoint with the least load relative to its capacity is chosen. The
    /// endpoint at which the prefix ran last is preferred, unless its load is
    /// much higher.
    pub fn grant(&mut self, now: time::Duration, request: request::Request) -> Option<run::Key> {
        if !self.has_room(request.need) {
            return None;
        }
        let key = self.best_endpoint(&request)?;
        Some(self.assign(now, key, request))
    }

    /// Returns the mean time to first token of a class in seconds; `None` before
    /// the first observation.
    pub fn mean_time_to_first_token(&self, class: usize) -> Option<f64> {
        self.first_latencies.get(class)?.mean()
    }

    /// Returns the number of endpoints that are ejected because of slowness.
    pub fn ejected_count(&self) -> usize {
        let endpoints = self.endpoints.values();
        endpoints
            .filter(|endpoint| endpoint.speed.is_ejected())
            .count()
    }

    fn best_endpoint(&mut self, request: &request::Request) -> Option<endpoint::Key> {
        let bit = 1 << request.need.index();
        let preferred = match request.prefix_hash {
            0 => None,
            prefix => self.prefixes.get(&prefix).copied(),
        };
        let avoid = request.avoid.and_then(|id| self.index.get(&id).copied());
        let mut best = None;
        let mut least = f32::INFINITY;
        for candidate in self
            .candidates
            .iter()
            .filter(|candidate| candidate.open_kinds & bit != 0)
        {
            let mut score = (candidate.load + 1.0) / candidate.capacity;
            score += self.rng.random::<f32>() * TIE_BREAK;
            if Some(candidate.key) == preferred {
                score -= PREFIX_BONUS;
            }
            if Some(candidate.key) == avoid {
                score += AVOID_PENALTY;
            }
            if score < least {
                least = score;
                best = Some(candidate.key);
            }
        }
        best
    }

    /// Records the endpoint at which a prefix runs; 0 stands for no prefix.
    pub(crate) fn record_prefix(&mut self, prefix: u64, key: endpoint::Key) {
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

/// Largest random part of a score; it breaks ties between equal endpoints.
const TIE_BREAK: f32 = 0.01;

/// Load, as a share of the capacity, by which an endpoint with a known prefix may
/// exceed others and still be preferred.
const PREFIX_BONUS: f32 = 0.25;

/// Penalty of the endpoint of the last failed attempt, higher than any load.
const AVOID_PENALTY: f32 = 1_000.0;

/// Number of prefixes kept, of about 40 bytes each.
const PREFIXES_MAX: usize = 4_096;
