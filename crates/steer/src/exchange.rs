use core::time;

use crate::balancer;
use crate::endpoint;
use crate::load;

impl balancer::Balancer {
    /// Returns the loads to publish to the hosts of the own data centre.
    /// Endpoints with nothing to publish are left out.
    pub fn loads(&self, now: time::Duration) -> Vec<load::Load> {
        self.endpoints
            .values()
            .map(|endpoint| {
                let mut load = self.load(now, endpoint);
                // Each host publishes only its own reports. If received ones were
                // passed on, every host would publish all of them and the
                // datagrams would have no space for anything else.
                load.report = load.report.filter(|_| endpoint.is_report_own);
                load
            })
            .filter(|load| !load.is_empty())
            .collect()
    }

    pub(crate) fn load(&self, now: time::Duration, endpoint: &endpoint::Endpoint) -> load::Load {
        let report = endpoint
            .report
            .map(|(report, at)| (report, now.saturating_sub(at)))
            .filter(|(_, age)| *age < self.options.report_age)
            // CAST: The age is below the bound of a few hundred milliseconds.
            .map(|(report, age)| (report, age.as_millis() as u32));
        load::Load {
            tag: endpoint.tag,
            running: endpoint.running,
            prefill_tokens: endpoint.prefill_tokens,
            kv_tokens: endpoint.kv_tokens,
            // CAST: The share is between 0 and 1.
            failed_percent: (endpoint.fault.failure_share(now) * 100.0) as u8,
            // A host that reaches no endpoint knows nothing of this one.
            is_down: endpoint.fault.is_down(now) && !self.is_cut_off(&endpoint.listed.service),
            report,
        }
    }

    /// Applies the loads that another host of the own data centre published.
    /// Endpoints that are not in the list have no work of that host.
    pub fn apply_loads(&mut self, now: time::Duration, peer: u64, loads: &[load::Load]) {
        self.last_peer_update = Some(now);
        for endpoint in self.endpoints.values_mut() {
            endpoint.peers.remove(&peer);
        }
        for &load in loads {
            if let Some(endpoint) = self.tagged(load.tag) {
                let known = endpoint::PeerLoad { load, at: now };
                endpoint.peers.insert(peer, known);
                endpoint.apply_report(now, load);
            }
        }
    }
}
