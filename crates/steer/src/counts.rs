use core::time;
use std::collections;

use crate::balancer;

/// How many endpoints are in which state, and the own requests at them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Endpoints that take work.
    pub up: u64,
    /// Endpoints that finish what they have.
    pub leaving: u64,
    /// Endpoints that would take work but cannot be reached.
    pub down: u64,
    /// Own requests in flight.
    pub running: u64,
}

impl balancer::Balancer {
    /// Returns the identifiers of the endpoints that are taken for unreachable.
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
                plan::Phase::Up if endpoint.is_down(now, &self.options) => &mut counts.down,
                plan::Phase::Up => &mut counts.up,
            };
            *state += 1;
        }
        counts
    }
}
