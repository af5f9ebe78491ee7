use crate::balancer;
use crate::key;

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
    pub fn mark_unreachable(&mut self, now: core::time::Duration, key: key::Key) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        endpoint.fault.mark_unreachable(now);
        self.reach.failed(key);
        let service = endpoint.listed.service.clone();
        self.service_reach.entry(service).or_default().failed(key);
    }

    /// Forgets the failures at an endpoint that is no longer listed.
    pub(crate) fn forget_reach(&mut self, key: key::Key) {
        self.reach.remove(key);
        for reach in self.service_reach.values_mut() {
            reach.remove(key);
        }
    }
}
