use core::time;
use std::collections;

use crate::fleet;

/// How many endpoints are in which state, and the own requests at them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Census {
    /// Endpoints that take work.
    pub up: u64,
    /// Endpoints that finish what they have.
    pub leaving: u64,
    /// Endpoints that would take work but cannot be reached.
    pub down: u64,
    /// Own requests in flight.
    pub running: u64,
}

impl fleet::Fleet {
    /// Returns the identifiers of the endpoints that are taken for unreachable.
    pub fn down(&self, now: time::Duration) -> collections::BTreeSet<String> {
        self.endpoints
            .values()
            .filter(|endpoint| endpoint.is_down(now, &self.options))
            .map(|endpoint| endpoint.listed.id.clone())
            .collect()
    }

    /// Counts the endpoints by state.
    pub fn census(&self, now: time::Duration) -> Census {
        let mut census = Census::default();
        for endpoint in self.endpoints.values() {
            census.running += u64::from(endpoint.running);
            let state = match endpoint.listed.phase {
                plan::Phase::Leaving => &mut census.leaving,
                plan::Phase::Up if endpoint.is_down(now, &self.options) => &mut census.down,
                plan::Phase::Up => &mut census.up,
            };
            *state += 1;
        }
        census
    }
}
