use core::time;
use std::sync;

use base::mutex;

use crate::gossip;
use crate::host;

/// Delay before an endpoint that broke a connection is probed. A process that
/// crashes closes its listener at the same time as its connections.
const PROBE_DELAY: time::Duration = time::Duration::from_millis(40);

/// Time-out of the probe.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Number of recent crashes that are kept and published to other hosts.
pub(crate) const CRASHES_MAX: usize = 16;

impl host::Host {
    /// Checks by a probe whether an endpoint that broke a connection has
    /// crashed. If so, the request counts as a possible cause of the crash,
    /// here and at other hosts.
    pub(crate) fn check_for_crash(self: &sync::Arc<Self>, pick: &steer::Pick, fingerprint: u64) {
        let host = self.clone();
        let (address, key) = (pick.address, pick.key);
        let endpoint = gossip::name_hash(&pick.id);
        tokio::spawn(async move {
            tokio::time::sleep(PROBE_DELAY).await;
            let connecting = tokio::net::TcpStream::connect(address);
            if let Ok(Ok(_)) = tokio::time::timeout(PROBE_TIMEOUT, connecting).await {
                return;
            }
            let now = host.clock.now();
            mutex::lock(&host.balancer).mark_unreachable(now, key);
            mutex::lock(&host.quarantine).record_crash(now, fingerprint, endpoint);
            log::warn!(
                target: "edge",
                endpoint = address.to_string().as_str(), fingerprint = fingerprint;
                "an endpoint crashed with the request in flight"
            );
            let mut crashes = mutex::lock(&host.crashes);
            crashes.push_back(gossip::Crash {
                fingerprint,
                endpoint,
            });
            if crashes.len() > CRASHES_MAX {
                crashes.pop_front();
            }
        });
    }
}
