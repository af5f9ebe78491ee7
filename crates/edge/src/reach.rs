use core::time;
use std::sync;

use base::mutex;

use crate::connection;
use crate::host;

/// Time between two probes of endpoints that this host does not reach.
const PROBE_PERIOD: time::Duration = time::Duration::from_millis(400);

/// Time-out of a probe.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// When the next probe is due, since the start of the process.
#[derive(Debug, Default)]
pub(crate) struct Probe {
    due: time::Duration,
}

impl host::Host {
    /// Opens a connection to an endpoint of a service that this host does not reach, to
    /// notice when it does again. Other hosts send the requests until then.
    pub(crate) fn probe_cut_off(self: &sync::Arc<Self>, now: time::Duration) {
        let probed = {
            let balancer = mutex::lock(&self.balancer);
            balancer.probed(&mut *mutex::lock(&self.rng))
        };
        let Some((key, address)) = probed else { return };
        {
            let mut probe = mutex::lock(&self.probe);
            if now < probe.due {
                return;
            }
            probe.due = now + PROBE_PERIOD;
        }
        let host = self.clone();
        tokio::spawn(async move {
            let opened = connection::Connection::open(address, PROBE_TIMEOUT).await;
            let result = match opened {
                Ok(_) => "reached",
                Err(_) => "failed",
            };
            host.metrics.count("reach_probes", &[("result", result)]);
            match opened {
                Ok(_) => host.record_connected(host.clock.now(), key),
                Err(_) => mutex::lock(&host.balancer).record_failed_probe(key),
            }
        });
    }
}
