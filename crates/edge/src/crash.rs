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
                host.metrics.count("crash_probes", &[("result", "alive")]);
                return;
            }
            host.metrics.count("crash_probes", &[("result", "crashed")]);
            let now = host.clock.now();
            mutex::lock(&host.balancer).mark_unreachable(now, key);
            log::warn!(
                target: "edge",
                endpoint = address.to_string().as_str(), fingerprint = fingerprint;
                "an endpoint crashed with the request in flight"
            );
            let crash = gossip::Crash {
                fingerprint,
                endpoint,
            };
            host.record_crash(now, crash, "own");
        });
    }

    /// Records a crash that this host detected or another one reported, and
    /// keeps it for publication. `source` is where the report comes from, for
    /// the log and the metrics.
    pub(crate) fn record_crash(&self, now: time::Duration, crash: gossip::Crash, source: &str) {
        {
            let mut crashes = mutex::lock(&self.crashes);
            crashes.push_back(crash);
            if crashes.len() > CRASHES_MAX {
                crashes.pop_front();
                self.metrics.count("crash_reports_dropped", &[]);
            }
        }
        let effect =
            mutex::lock(&self.quarantine).record_crash(now, crash.fingerprint, crash.endpoint);
        let name = match effect {
            route::Effect::Ignored => "ignored",
            route::Effect::Counted => "counted",
            route::Effect::Convicted => "convicted",
        };
        let tags = [("source", source), ("effect", name)];
        self.metrics.count("crash_reports", &tags);
        if effect == route::Effect::Convicted {
            log::warn!(
                target: "edge",
                fingerprint = crash.fingerprint, endpoint = crash.endpoint, source = source;
                "a request is refused because endpoints crashed while it ran"
            );
        }
    }
}
