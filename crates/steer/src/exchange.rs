use core::time;

use crate::balancer;
use crate::endpoint;
use crate::load;

impl balancer::Balancer {
    /// Returns the loads to tell the hosts of the own data centre. Endpoints
    /// without anything to tell are left out.
    pub fn loads(&self, now: time::Duration) -> Vec<load::Load> {
        self.endpoints
            .values()
            .map(|endpoint| {
                let mut load = self.load(now, endpoint);
                // Each host tells its own reports. Were they passed on, every
                // host would tell all of them and nothing else would fit.
                load.report = load.report.filter(|_| endpoint.is_report_own);
                load
            })
            .filter(|load| !load.is_silent())
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
            failed_percent: (endpoint.fault.failed(now) * 100.0) as u8,
            is_down: endpoint.fault.is_down(now),
            report,
        }
    }

    /// Takes the loads of another host of the own data centre. Endpoints that
    /// it leaves out have no work of it.
    pub fn apply_loads(&mut self, now: time::Duration, peer: u64, loads: &[load::Load]) {
        self.heard = Some(now);
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
