use core::time;
use std::collections;

use base::mutex;

use crate::host;

/// A cold endpoint as last logged.
#[derive(Debug)]
struct Entry {
    source: steer::cold::Source,
    /// When it was first found to be cold.
    since: time::Duration,
}

/// Cold endpoints as last logged, by id.
#[derive(Debug, Default)]
pub(crate) struct Log(collections::BTreeMap<String, Entry>);

impl Log {
    /// Logs the endpoints that became cold, or ceased to be, since the last call.
    pub(crate) fn update(&mut self, host: &host::Host) {
        let now = host.clock.now();
        let mut before = core::mem::take(&mut self.0);
        let cold_endpoints = mutex::lock(&host.balancer).cold_endpoints(now);
        for cold in cold_endpoints {
            let known = before.remove(&cold.id);
            if known.as_ref().map(|known| known.source) != Some(cold.source) {
                log::info!(
                    target: "edge", endpoint = cold.id.as_str(), state = "cold",
                    source = cold.source.name(), age_ms = cold.age.as_millis() as u64,
                    left_ms = cold.left.as_millis() as u64;
                    "endpoint is cold: few hosts send to it, at a low rate"
                );
            }
            let found = now.saturating_sub(cold.age);
            let entry = Entry {
                source: cold.source,
                since: known.map_or(found, |known| known.since.min(found)),
            };
            self.0.insert(cold.id, entry);
        }
        for (id, entry) in before {
            log::info!(
                target: "edge", endpoint = id.as_str(), state = "warm",
                source = entry.source.name(),
                age_ms = now.saturating_sub(entry.since).as_millis() as u64;
                "endpoint is no longer cold, or no longer listed"
            );
        }
    }
}
