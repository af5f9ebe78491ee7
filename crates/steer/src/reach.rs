use core::time;
use std::net;

use rand::seq::IteratorRandom;

use crate::balancer;
use crate::gate;
use crate::key;
use crate::pick;

/// Endpoints for which connections must fail, without one that is established
/// meanwhile, before a host counts as cut off. A single one may have crashed.
const FAILURES_MIN: usize = 2;

/// Which endpoints of a group this host failed to reach since it last reached one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reach {
    failed: rustc_hash::FxHashSet<key::Key>,
}

impl Reach {
    /// Records that a connection to an endpoint of the group was established.
    pub(crate) fn connected(&mut self) {
        self.failed.clear();
    }

    /// Records that a connection to an endpoint of the group failed.
    pub(crate) fn failed(&mut self, key: key::Key) {
        self.failed.insert(key);
    }

    /// Forgets an endpoint that is no longer listed.
    pub(crate) fn remove(&mut self, key: key::Key) {
        self.failed.remove(&key);
    }

    /// Returns whether a connection to the endpoint failed.
    fn has_failed(&self, key: key::Key) -> bool {
        self.failed.contains(&key)
    }

    /// Returns whether this host reaches no endpoint of the group, which has `listed`
    /// endpoints.
    pub(crate) fn is_cut_off(&self, listed: usize) -> bool {
        listed > 0 && self.failed.len() >= FAILURES_MIN.min(listed)
    }
}

impl balancer::Balancer {
    /// Returns whether this host probably reaches no endpoint of a service: connections
    /// to several of them, or to several of all services, have failed since the last
    /// one that was established.
    pub fn is_cut_off(&self, service: &str) -> bool {
        let listed = self.services.get(service).map_or(0, Vec::len);
        let of_service = self.service_reach.get(service);
        of_service.is_some_and(|reach| reach.is_cut_off(listed))
            || self.reach.is_cut_off(self.endpoints.len())
    }

    /// Records that a connection to the endpoint was established.
    pub fn mark_reachable(&mut self, key: key::Key) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        endpoint.fault.mark_reachable();
        self.reach.connected();
        if let Some(reach) = self.service_reach.get_mut(&endpoint.listed.service) {
            reach.connected();
        }
    }

    /// Records that a connection to the endpoint failed.
    pub fn mark_unreachable(&mut self, now: time::Duration, key: key::Key) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        endpoint.fault.mark_unreachable(now);
        let service = endpoint.listed.service.clone();
        let was_cut_off = self.is_cut_off(&service);
        self.reach.failed(key);
        let of_service = self.service_reach.entry(service.clone()).or_default();
        of_service.failed(key);
        if !was_cut_off && self.is_cut_off(&service) {
            self.forget_down();
        }
    }

    /// Forgets which endpoints are down, of the services that this host does not reach.
    /// Their failures are those of this host, and other hosts may reach them.
    fn forget_down(&mut self) {
        let cut_off: Vec<String> = {
            let services = self.services.keys();
            let services = services.filter(|service| self.is_cut_off(service));
            services.cloned().collect()
        };
        for endpoint in self.endpoints.values_mut() {
            if cut_off.contains(&endpoint.listed.service) {
                endpoint.fault.mark_reachable();
            }
        }
    }

    /// Returns the names of the services that this host does not reach.
    pub fn cut_off(&self) -> Vec<&str> {
        let services = self.services.keys().map(String::as_str);
        let mut cut_off: Vec<&str> = services.filter(|name| self.is_cut_off(name)).collect();
        cut_off.sort_unstable();
        cut_off
    }

    /// Returns whether this host reaches no endpoint of the service of this one.
    pub fn is_cut_off_from(&self, key: key::Key) -> bool {
        let endpoint = self.endpoints.get(key);
        endpoint.is_some_and(|endpoint| self.is_cut_off(&endpoint.listed.service))
    }

    /// Returns random other endpoints than this one, up to `count`.
    pub fn others(
        &self,
        key: key::Key,
        count: usize,
        rng: &mut impl rand::Rng,
    ) -> Vec<(key::Key, net::SocketAddr)> {
        let others = self.endpoints.iter().filter(|(other, _)| *other != key);
        let others = others.map(|(other, endpoint)| (other, endpoint.listed.address));
        others.sample(rng, count)
    }

    /// Returns a random endpoint of a service that this host does not reach, by which
    /// the end of that can be noticed. Endpoints that have not failed come first: the
    /// failed ones may have crashed while this host reaches the others.
    pub fn probed(&self, rng: &mut impl rand::Rng) -> Option<(key::Key, net::SocketAddr)> {
        let keys = self.cut_off().into_iter();
        let keys = keys.flat_map(|service| &self.services[service]).copied();
        let untried = keys.clone().filter(|key| !self.has_failed(*key));
        let key = untried.choose(rng).or_else(|| keys.choose(rng))?;
        Some((key, self.endpoints[key].listed.address))
    }

    /// Records that a connection to the endpoint that [`Self::probed`] returned failed. It
    /// is not avoided for that, as the failure may be that of this host.
    pub fn record_failed_probe(&mut self, key: key::Key) {
        let Some(endpoint) = self.endpoints.get(key) else {
            return;
        };
        // Only of its service: no probe goes to the services that this host reaches, so that
        // probes alone would make it look cut off from all of them.
        let service = endpoint.listed.service.clone();
        self.service_reach.entry(service).or_default().failed(key);
    }

    /// Returns whether a connection to the endpoint failed since the last one to an
    /// endpoint of its service that was established.
    fn has_failed(&self, key: key::Key) -> bool {
        let of_service = self.service_reach.get(&self.endpoints[key].listed.service);
        of_service.is_some_and(|reach| reach.has_failed(key))
    }

    /// Returns the endpoint that another host has selected, without the figures of a
    /// choice. An endpoint that has started again is another one.
    pub fn locate(&self, id: &str, started_ms: u64) -> Option<pick::Pick> {
        let mut endpoints = self.endpoints.iter();
        let (key, endpoint) = endpoints.find(|(_, endpoint)| endpoint.listed.id == id)?;
        let listed = &endpoint.listed;
        (listed.started_ms == started_ms).then(|| pick::Pick {
            key,
            id: listed.id.clone(),
            started_ms,
            build: listed.build.clone(),
            address: listed.address,
            data_centre: listed.data_centre.clone(),
            is_local: listed.data_centre == self.options.data_centre,
            wait_ms: 0.0,
            rank: None,
            is_cached: false,
            interactive_share: 0.0,
            is_reserved: false,
            prefill_tokens: 0,
            report_age: None,
        })
    }

    /// Returns whether a request that another host has selected the endpoint for may
    /// be sent from here. The other host has counted it against the limit, while a pause
    /// holds for the host that the endpoint sees.
    pub fn forward_gate(&self, now: time::Duration, key: key::Key) -> gate::Gate {
        let gate = self.gate(now, key);
        if gate.is_shut() {
            return gate;
        }
        let ramp = self.endpoints[key].pause.ramp(now);
        match ramp.is_zero() {
            true => gate::Gate::Open,
            false => gate::Gate::Limited(Some(ramp)),
        }
    }

    /// Forgets the failures at an endpoint that is no longer listed.
    pub(crate) fn forget_reach(&mut self, key: key::Key) {
        self.reach.remove(key);
        for reach in self.service_reach.values_mut() {
            reach.remove(key);
        }
    }
}
