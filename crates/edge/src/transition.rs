use std::collections;

use base::mutex;

use crate::cold_log;
use crate::host;

/// States of hosts and endpoints as last logged, so that each change is logged
/// once.
#[derive(Debug, Default)]
pub(crate) struct Log {
    hosts: collections::HashMap<String, fleet::State>,
    down: collections::BTreeSet<String>,
    /// Limits by endpoint, as text.
    limited: collections::BTreeMap<String, String>,
    /// Endpoints that do not take requests by what their answers said.
    shut: collections::BTreeMap<String, steer::Gate>,
    /// Services that this host does not reach.
    cut_off: collections::BTreeSet<String>,
    /// Refusals in a second that an endpoint bears, by brittle service.
    brittle: collections::BTreeMap<String, u32>,
    cold: cold_log::Log,
}

impl Log {
    /// Logs the changes since the last call.
    pub(crate) fn update(&mut self, host: &host::Host) {
        self.update_hosts(host);
        self.update_endpoints(host);
        self.update_limits(host);
        self.update_shut(host);
        self.update_cut_off(host);
        self.update_brittle(host);
        self.cold.update(host);
    }

    fn update_brittle(&mut self, host: &host::Host) {
        let now: collections::BTreeMap<String, u32> = {
            let balancer = mutex::lock(&host.balancer);
            let brittle = balancer.brittle(host.clock.now()).into_iter();
            brittle
                .map(|(service, refusals)| (service.to_owned(), refusals))
                .collect()
        };
        for (service, refusals) in &now {
            if self.brittle.get(service) != Some(refusals) {
                log::warn!(
                    target: "edge", service = service.as_str(), state = "brittle", refusals = *refusals;
                    "endpoints of the service say that they fall over after more refusals in a second"
                );
            }
        }
        for service in self.brittle.keys().filter(|key| !now.contains_key(*key)) {
            log::info!(
                target: "edge", service = service.as_str(), state = "sound";
                "endpoints of the service no longer say that they fall over"
            );
        }
        self.brittle = now;
    }

    fn update_cut_off(&mut self, host: &host::Host) {
        let now: collections::BTreeSet<String> = {
            let balancer = mutex::lock(&host.balancer);
            balancer.cut_off().into_iter().map(str::to_owned).collect()
        };
        for service in now.difference(&self.cut_off) {
            log::warn!(
                target: "edge", service = service.as_str(), state = "cut_off";
                "connections to several endpoints have failed and none succeeds: other hosts send to the service"
            );
        }
        for service in self.cut_off.difference(&now) {
            log::info!(
                target: "edge", service = service.as_str(), state = "reached";
                "an endpoint of the service was reached again, or none is listed"
            );
        }
        self.cut_off = now;
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

    fn update_shut(&mut self, host: &host::Host) {
        let now = mutex::lock(&host.balancer).shut(host.clock.now());
        for (id, gate) in &now {
            let before = self.shut.get(id).map(|gate| gate.name());
            if before == Some(gate.name()) {
                continue;
            }
            let left = match gate {
                steer::Gate::Pausing(left) => left.as_millis() as i64,
                _ => -1,
            };
            log::info!(
                target: "edge", endpoint = id.as_str(), state = gate.name(),
                source = "own", left_ms = left;
                "endpoint says that it takes no requests"
            );
        }
        for id in self.shut.keys().filter(|id| !now.contains_key(*id)) {
            log::info!(
                target: "edge", endpoint = id.as_str(), state = "open";
                "endpoint takes requests again, or is no longer listed"
            );
        }
        self.shut = now;
    }

    fn update_limits(&mut self, host: &host::Host) {
        let now = mutex::lock(&host.balancer).limited(host.clock.now());
        let texts = now.iter().map(|limited| {
            let text = format!("{}", limited.per_s);
            (limited.id.clone(), text)
        });
        let texts: collections::BTreeMap<String, String> = texts.collect();
        for limited in &now {
            let text = &texts[&limited.id];
            if self.limited.get(&limited.id) == Some(text) {
                continue;
            }
            let source = if limited.is_own { "own" } else { "peer" };
            log::warn!(
                target: "edge", endpoint = limited.id.as_str(), state = "limited",
                per_s = text.as_str(), source = source, age_ms = limited.age.as_millis() as u64;
                "endpoint states how many requests it takes from all hosts"
            );
        }
        for id in self.limited.keys().filter(|id| !texts.contains_key(*id)) {
            log::info!(
                target: "edge", endpoint = id.as_str(), state = "unlimited";
                "endpoint states no limit any more, or is no longer listed"
            );
        }
        self.limited = texts;
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
