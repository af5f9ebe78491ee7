use std::collections;

use rand::RngExt;

/// Mean number of hosts that send a digest to a host that has joined. A digest
/// holds about a fifteenth of 340 hosts, so this many show it nearly all of them.
const RESPONDERS: f64 = 64.0;

/// Joined hosts that are sent a digest per tick, which bounds the traffic when
/// many hosts join.
const JOINS_PER_TICK: usize = 2;

/// Maximum length of the queue; further hosts get only the regular digests.
const QUEUE_MAX: usize = 64;

/// Hosts that have joined and will be sent a digest, oldest first.
///
/// Without these digests, a host that joins a large fleet would know only a part
/// of it for a minute and choose other home hosts than the rest.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    names: collections::VecDeque<String>,
}

impl Queue {
    /// Adds a host that has joined a fleet of `known` hosts, with a probability
    /// such that about [`RESPONDERS`] of them send it a digest.
    pub(crate) fn push(&mut self, rng: &mut impl rand::Rng, name: &str, known: usize) {
        let share = RESPONDERS / known.max(1) as f64;
        if self.names.len() < QUEUE_MAX && rng.random_bool(share.min(1.0)) {
            self.names.push_back(name.to_owned());
        }
    }

    /// Removes and returns the hosts that are sent a digest in this tick.
    pub(crate) fn drain(&mut self) -> Vec<String> {
        let count = self.names.len().min(JOINS_PER_TICK);
        self.names.drain(..count).collect()
    }
}
