use std::collections;

use base::mutex;

use crate::host;

/// States of hosts and endpoints as last logged, so that each change is logged
/// once.
#[derive(Debug, Default)]
pub(crate) struct Log {
    hosts: collections::HashMap<String, fleet::State>,
    down: collections::BTreeSet<String>,
}

impl Log {
    /// Logs the changes since the last call.
    pub(crate) fn update(&mut self, host: &host::Host) {
        self.update_hosts(host);
        self.update_endpoints(host);
    }

    fn update_hosts(&mut self, host: &host::Host) {
        let now: collections::HashMap<String, fleet::State> = {
            let membership = mutex::lock(&host.membership);
            let entries = membership.entries();
            entries
                .map(|(entry, state)| (entry.name.clone(), state))
                .collect()
        };
        for (name, state) in &now {
            if *name == host.options.name || self.hosts.get(name) == Some(state) {
                continue;
            }
            let text = match state {
                fleet::State::Live => "seen",
                fleet::State::Suspect => "suspected: its heartbeats have stopped",
                fleet::State::Leaving => "leaving",
                fleet::State::Dead => "gone",
            };
            log::info!(target: "edge", peer = name.as_str(), state = state_name(*state); "host {text}");
        }
        for name in self.hosts.keys().filter(|name| !now.contains_key(*name)) {
            log::info!(target: "edge", peer = name.as_str(), state = "forgotten"; "host no longer listed");
        }
        self.hosts = now;
    }

    fn update_endpoints(&mut self, host: &host::Host) {
        let now = mutex::lock(&host.balancer).unreachable(host.clock.now());
        for id in now.difference(&self.down) {
            log::info!(
                target: "edge", endpoint = id.as_str(), state = "down";
                "endpoint passed over: it cannot be reached"
            );
        }
        for id in self.down.difference(&now) {
            log::info!(
                target: "edge", endpoint = id.as_str(), state = "up";
                "endpoint used again, or no longer listed"
            );
        }
        self.down = now;
    }
}

/// Returns the name of a host's state in logs and metrics.
pub(crate) const fn state_name(state: fleet::State) -> &'static str {
    match state {
        fleet::State::Live => "live",
        fleet::State::Suspect => "suspect",
        fleet::State::Leaving => "leaving",
        fleet::State::Dead => "dead",
    }
}
