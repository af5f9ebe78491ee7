use core::time;
use std::collections;

use crate::balancer;

/// Number of endpoints by state, and of this host's requests at them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Endpoints that accept requests and are reachable.
    pub up: u64,
    /// Endpoints that only finish their requests in flight.
    pub leaving: u64,
    /// Endpoints that have asked this host to pause.
    pub pausing: u64,
    /// Endpoints that accept requests but are marked unreachable.
    pub down: u64,
    /// Requests of this host in flight.
    pub running: u64,
}

impl balancer::Balancer {
    /// Returns the ids of the endpoints that are marked unreachable.
    pub fn unreachable(&self, now: time::Duration) -> collections::BTreeSet<String> {
        self.endpoints
            .values()
            .filter(|endpoint| endpoint.is_down(now, &self.options))
            .map(|endpoint| endpoint.listed.id.clone())
            .collect()
    }

    /// Counts the endpoints by state.
    pub fn counts(&self, now: time::Duration) -> Counts {
        let mut counts = Counts::default();
        for endpoint in self.endpoints.values() {
            counts.running += u64::from(endpoint.running);
            let state = match endpoint.listed.phase {
                plan::Phase::Leaving => &mut counts.leaving,
                plan::Phase::Up if endpoint.is_leaving => &mut counts.leaving,
                plan::Phase::Up if !endpoint.pause.left(now).is_zero() => &mut counts.pausing,
                plan::Phase::Up if endpoint.is_down(now, &self.options) => &mut counts.down,
                plan::Phase::Up => &mut counts.up,
            };
            *state += 1;
        }
        counts
    }
}
