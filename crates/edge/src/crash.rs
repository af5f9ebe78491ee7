use core::time;
use std::io;
use std::net;
use std::sync;

use base::mutex;
use xxhash_rust::xxh3;

use crate::gossip;
use crate::guard;
use crate::host;
use crate::job;

/// Delay before an endpoint that broke a connection is probed. A process that
/// crashes closes its listener at the same time as its connections.
const PROBE_DELAY: time::Duration = time::Duration::from_millis(40);

/// Time-out of the probe.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Most other endpoints that are probed before an endpoint counts as crashed. Some may
/// have crashed as well.
const CONTROLS_MAX: usize = 3;

/// Most crashes of poison requests in a periodic message.
const POISON_CRASHES_MAX: usize = 16;

/// Most crashes of one poison request in a periodic message: as many as convict
/// it.
const REQUEST_CRASHES_MAX: usize = 2;

/// A request at an endpoint that may have crashed.
#[derive(Clone, Debug)]
pub(crate) struct Flight {
    /// Request id for logs.
    request: String,
    fingerprint: u64,
    /// Hash of the request and its whole prompt; equal for its repeats.
    content: u64,
    /// Ids of the parts of the prompt that other requests may share, in order.
    parts: Vec<u64>,
    /// For how long the answer had been arriving; `None` before its first event.
    answering: Option<time::Duration>,
}

impl Flight {
    /// Returns the flight of a request whose run at the endpoint is guarded by `guard`.
    pub(crate) fn new(job: &job::Job, guard: &guard::Guard) -> Self {
        Self::forwarded(&job.id, job.fingerprint, &job.work).answering_for(guard.answering())
    }

    /// Returns the flight of a request of another host.
    pub(crate) fn forwarded(request: &str, fingerprint: u64, work: &steer::Work) -> Self {
        Self {
            request: request.to_owned(),
            fingerprint,
            content: work.parts.iter().fold(fingerprint, |hash, part| {
                xxh3::xxh3_64_with_seed(&part.id.to_le_bytes(), hash)
            }),
            parts: work.shared().iter().map(|part| part.id).collect(),
            answering: None,
        }
    }

    /// Sets for how long the answer had been arriving.
    pub(crate) fn answering_for(self, answering: Option<time::Duration>) -> Self {
        Self { answering, ..self }
    }
}

/// Sign that an endpoint may have crashed with a request in flight.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Sign {
    /// The connection broke.
    Broken,
    /// The endpoint did not answer in time.
    Silent,
}

impl host::Host {
    /// Checks by a probe whether an endpoint has crashed. If so, the request counts
    /// as a possible cause of the crash, here and at other hosts.
    pub(crate) fn check_for_crash(
        self: &sync::Arc<Self>,
        pick: &steer::Pick,
        flight: Flight,
        sign: Sign,
    ) {
        let host = self.clone();
        let (address, key) = (pick.address, pick.key);
        if mutex::lock(&self.balancer).is_cut_off_from(key) {
            self.metrics.count("crash_probes", &[("result", "unknown")]);
            return;
        }
        let endpoint = gossip::start_hash(&pick.id, pick.started_ms);
        tokio::spawn(async move {
            tokio::time::sleep(PROBE_DELAY).await;
            let (has_crashed, controls) = host.probe(address, key, sign).await;
            if !has_crashed {
                host.metrics.count("crash_probes", &[("result", "alive")]);
                return;
            }
            if !host.record_probes(key, &controls) {
                host.metrics.count("crash_probes", &[("result", "unknown")]);
                return;
            }
            host.metrics.count("crash_probes", &[("result", "crashed")]);
            let now = host.clock.now();
            log::warn!(
                target: "edge",
                request = flight.request.as_str(), endpoint = address.to_string().as_str(),
                fingerprint = flight.fingerprint, parts = part_names(&flight.parts).as_str(),
                answering_ms = flight.answering.map_or(-1, |time| time.as_millis() as i64);
                "an endpoint crashed with the request in flight"
            );
            let crash = gossip::Crash {
                fingerprint: flight.fingerprint,
                endpoint,
            };
            host.record_crashes(now, &[crash], "own");
            if !mutex::lock(&host.reports).crashes.add(now, crash) {
                host.metrics.count("crash_reports_dropped", &[]);
            }
            let run = route::parts::Crash {
                endpoint,
                request: flight.content,
                parts: flight.parts,
            };
            host.blame_parts(now, run, flight.answering);
            host.crashed.notify_one();
        });
    }

    /// Returns whether an endpoint has crashed, and whether connections to some other
    /// ones succeed. After a broken connection, which mostly means a crash, both are tried
    /// at the same time: on a busy host, each connection takes a turn of the runtime, and
    /// until the crash is reported other hosts send the request on.
    async fn probe(
        &self,
        address: net::SocketAddr,
        key: steer::Key,
        sign: Sign,
    ) -> (bool, Vec<(steer::Key, bool)>) {
        if sign == Sign::Broken {
            return tokio::join!(has_crashed(address, sign), self.probe_others(key));
        }
        match has_crashed(address, sign).await {
            true => (true, self.probe_others(key).await),
            false => (false, Vec::new()),
        }
    }

    /// Connects to some other endpoints, until one accepts. Returns which were tried and
    /// whether they accepted.
    async fn probe_others(&self, key: steer::Key) -> Vec<(steer::Key, bool)> {
        let controls = {
            let balancer = mutex::lock(&self.balancer);
            balancer.others(key, CONTROLS_MAX, &mut *mutex::lock(&self.rng))
        };
        let mut probed = Vec::new();
        for (control, address) in controls {
            let connecting = tokio::net::TcpStream::connect(address);
            let connected = tokio::time::timeout(PROBE_TIMEOUT, connecting).await;
            let is_reached = matches!(connected, Ok(Ok(_)));
            probed.push((control, is_reached));
            if is_reached {
                break;
            }
        }
        probed
    }

    /// Records that an endpoint could not be reached, and which other ones could. Returns
    /// whether another one was reached, or there was none to try. Otherwise the links of
    /// this host have failed, not the endpoint.
    fn record_probes(&self, key: steer::Key, controls: &[(steer::Key, bool)]) -> bool {
        let now = self.clock.now();
        let mut balancer = mutex::lock(&self.balancer);
        balancer.mark_unreachable(now, key);
        for &(control, is_reached) in controls {
            match is_reached {
                true => balancer.mark_reachable(control),
                false => balancer.mark_unreachable(now, control),
            }
        }
        controls.is_empty() || controls.iter().any(|&(_, is_reached)| is_reached)
    }

    /// Records crashes that this host detected or another one reported. `source` is
    /// where the reports come from, for the log and the metrics.
    pub(crate) fn record_crashes(
        &self,
        now: time::Duration,
        crashes: &[gossip::Crash],
        source: &str,
    ) {
        // Nearly all reports in periodic messages are known, and a metric for each one took
        // a seventh of the processor time of hosts that had convicted several requests.
        let (mut ignored, mut counted, mut convicted) = (0, 0, 0);
        for crash in crashes {
            let effect =
                mutex::lock(&self.quarantine).record_report(now, crash.fingerprint, crash.endpoint);
            match effect {
                route::Effect::Ignored => ignored += 1,
                route::Effect::Counted => counted += 1,
                route::Effect::Convicted => convicted += 1,
            }
            if effect == route::Effect::Convicted {
                log::warn!(
                    target: "edge",
                    fingerprint = crash.fingerprint, endpoint = crash.endpoint, source = source;
                    "a request is refused because endpoints crashed while it ran"
                );
            }
        }
        let effects = [
            ("ignored", ignored),
            ("counted", counted),
            ("convicted", convicted),
        ];
        for (effect, count) in effects.into_iter().filter(|(_, count)| *count > 0) {
            let tags = [("source", source), ("effect", effect)];
            self.metrics.add("crash_reports", &tags, count);
        }
    }

    /// Returns the crashes that convict the newest poison requests, for hosts that
    /// have missed reports or started since.
    pub(crate) fn poison_crashes(&self, now: time::Duration) -> Vec<gossip::Crash> {
        let poison = mutex::lock(&self.quarantine).poison(now);
        let crashes = poison.into_iter().flat_map(|(fingerprint, endpoints)| {
            let endpoints = endpoints.into_iter().take(REQUEST_CRASHES_MAX);
            endpoints.map(move |endpoint| gossip::Crash {
                fingerprint,
                endpoint,
            })
        });
        crashes.take(POISON_CRASHES_MAX).collect()
    }
}

/// Returns the ids of prompt parts as they are written in logs.
fn part_names(parts: &[u64]) -> String {
    let names: Vec<_> = parts.iter().map(|part| format!("{part:x}")).collect();
    names.join(",")
}

/// Returns whether an endpoint has crashed, judged by a connection attempt. A
/// silent endpoint may be partitioned from this host, so only a refused connection
/// shows that its process has ended.
async fn has_crashed(address: net::SocketAddr, sign: Sign) -> bool {
    let connecting = tokio::net::TcpStream::connect(address);
    match tokio::time::timeout(PROBE_TIMEOUT, connecting).await {
        Ok(Ok(_)) => false,
        Ok(Err(cause)) if cause.kind() == io::ErrorKind::ConnectionRefused => true,
        Ok(Err(_)) | Err(_) => sign == Sign::Broken,
    }
}
