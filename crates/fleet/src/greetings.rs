use std::collections;

use rand::RngExt;

/// Hosts that send a digest to a host that has joined. With about a fifteenth
/// of 340 hosts in a digest, so many show it nearly all of them.
const GREETERS: f64 = 64.0;

/// Greetings per tick, which bounds the traffic when many hosts join.
const PER_TICK: usize = 2;

/// Greetings that wait; more are left to the usual digests.
const WAITING_MAX: usize = 64;

/// Hosts that have joined and will be sent a digest, oldest first.
///
/// A host in a large fleet would otherwise know only part of it for a minute
/// and choose other home hosts than the rest.
#[derive(Clone, Debug, Default)]
pub(crate) struct Greetings {
    names: collections::VecDeque<String>,
}

impl Greetings {
    /// Notes that a host has joined a fleet of `known` hosts. Each of them
    /// decides alone, so that about [`GREETERS`] greet.
    pub(crate) fn note(&mut self, rng: &mut impl rand::Rng, name: &str, known: usize) {
        let share = GREETERS / known.max(1) as f64;
        if self.names.len() < WAITING_MAX && rng.random_bool(share.min(1.0)) {
            self.names.push_back(name.to_owned());
        }
    }

    /// Takes the hosts to greet in this tick.
    pub(crate) fn take(&mut self) -> Vec<String> {
        let count = self.names.len().min(PER_TICK);
        self.names.drain(..count).collect()
    }
}
