use core::time;

use xxhash_rust::xxh3;

use crate::cache;
use crate::cold;
use crate::fault;
use crate::gateway;
use crate::load;
use crate::options;
use crate::pause;
use crate::quota;
use crate::report;

/// The last load that another host published, or the last sum of another data
/// centre.
#[derive(Clone, Copy, Debug, serde::Deserialize, serde::Serialize)]
pub(crate) struct PeerLoad {
    pub(crate) load: load::Load,
    pub(crate) at: time::Duration,
}

/// State of one endpoint on this host.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) listed: plan::Endpoint,
    pub(crate) tag: u32,
    pub(crate) build: Option<plan::Build>,
    pub(crate) running: u32,
    pub(crate) prefill_tokens: u32,
    pub(crate) kv_tokens: u32,
    /// Loads by host, for hosts of the own data centre.
    pub(crate) peers: rustc_hash::FxHashMap<u64, PeerLoad>,
    /// Sums by data centre, for other data centres.
    pub(crate) sums: rustc_hash::FxHashMap<u64, PeerLoad>,
    pub(crate) report: Option<(report::Report, time::Duration)>,
    /// Whether the report came with an answer to this host, not from a peer.
    pub(crate) is_report_own: bool,
    pub(crate) fault: fault::Fault,
    pub(crate) cache: cache::Cache,
    pub(crate) quota: quota::Quota,
    pub(crate) pause: pause::Pause,
    pub(crate) cold: cold::Cold,
    pub(crate) gateway: gateway::Gateway,
    /// Whether an answer has said that the endpoint is leaving.
    pub(crate) is_leaving: bool,
}

/// Load of an endpoint over all hosts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Total {
    pub(crate) running: f64,
    pub(crate) prefill_tokens: f64,
    pub(crate) kv_tokens: f64,
}

impl Endpoint {
    pub(crate) fn new(listed: plan::Endpoint) -> Self {
        Self {
            tag: tag(&listed.id),
            build: listed.build(),
            listed,
            running: 0,
            prefill_tokens: 0,
            kv_tokens: 0,
            peers: rustc_hash::FxHashMap::default(),
            sums: rustc_hash::FxHashMap::default(),
            report: None,
            is_report_own: false,
            fault: fault::Fault::default(),
            cache: cache::Cache::default(),
            quota: quota::Quota::default(),
            pause: pause::Pause::default(),
            cold: cold::Cold::default(),
            gateway: gateway::Gateway::default(),
            is_leaving: false,
        }
    }

    /// Applies the endpoint's report that another host passed on, if it is newer.
    pub(crate) fn apply_report(&mut self, now: time::Duration, load: load::Load) {
        let Some((report, age_ms)) = load.report else {
            return;
        };
        let at = now.saturating_sub(time::Duration::from_millis(age_ms.into()));
        if self.report.is_none_or(|(_, known)| known < at) {
            self.report = Some((report, at));
            self.is_report_own = false;
        }
    }

    /// Adds up the load of all hosts.
    pub(crate) fn total(&self, now: time::Duration, options: &options::Options) -> Total {
        let mut total = Total {
            running: f64::from(self.running),
            prefill_tokens: f64::from(self.prefill_tokens),
            kv_tokens: f64::from(self.kv_tokens),
        };
        for peer in self.recent_loads(now, options) {
            total.running += f64::from(peer.load.running);
            total.kv_tokens += f64::from(peer.load.kv_tokens);
            // The endpoint continues to process prompts after the load was published.
            let age = now.saturating_sub(peer.at).as_secs_f64();
            let left = 1.0 - age / options.peer_load_age.as_secs_f64();
            total.prefill_tokens += f64::from(peer.load.prefill_tokens) * left.max(0.0);
        }
        total
    }

    /// Returns the number of requests at the endpoint by its last report; 0 if there is no
    /// recent one.
    pub(crate) fn reported(&self, now: time::Duration, options: &options::Options) -> f64 {
        match self.report {
            Some((report, at)) if now.saturating_sub(at) < options.report_age => {
                f64::from(report.running.saturating_add(report.waiting))
            }
            _ => 0.0,
        }
    }

    /// Returns the factor by which work currently takes longer than usual; 1 if
    /// there is no recent report.
    pub(crate) fn slowness(&self, now: time::Duration, options: &options::Options) -> f64 {
        match self.report {
            Some((report, at)) if now.saturating_sub(at) < options.report_age => {
                f64::from(report.slowness_percent.max(1)) / 100.0
            }
            _ => 1.0,
        }
    }

    /// Returns the share of failed answers from 0 to 1: the larger of this host's
    /// own share and half the mean of the shares that others published.
    pub(crate) fn failure_share(&self, now: time::Duration, options: &options::Options) -> f64 {
        let own = self.fault.failure_share(now);
        let mut sum = 0.0;
        let mut count = 0.0;
        for peer in self.recent_loads(now, options) {
            sum += f64::from(peer.load.failed_percent) / 100.0;
            count += 1.0;
        }
        if count > 0.0 {
            own.max(sum / count * 0.5)
        } else {
            own
        }
    }

    /// Returns whether the endpoint counts as unreachable, by the connections of
    /// this host or, while it has no requests in flight there, by the loads that
    /// others published.
    pub(crate) fn is_down(&self, now: time::Duration, options: &options::Options) -> bool {
        if self.fault.is_down(now) {
            return true;
        }
        let reports = self
            .recent_loads(now, options)
            .filter(|peer| peer.load.is_down)
            .count();
        reports >= DOWN_REPORTS_MIN && self.running == 0
    }

    /// Returns the age of the newest load that another host published.
    pub(crate) fn peer_age(&self, now: time::Duration) -> Option<time::Duration> {
        let loads = self.peers.values().chain(self.sums.values());
        loads.map(|peer| now.saturating_sub(peer.at)).min()
    }

    fn recent_loads<'a>(
        &'a self,
        now: time::Duration,
        options: &options::Options,
    ) -> impl Iterator<Item = &'a PeerLoad> + use<'a> {
        let age = options.peer_load_age;
        self.peers
            .values()
            .chain(self.sums.values())
            .filter(move |peer| now.saturating_sub(peer.at) < age)
    }
}

/// Returns the hash that identifies an endpoint in messages between hosts.
pub(crate) fn tag(id: &str) -> u32 {
    // CAST: The low half of a hash is a hash.
    xxh3::xxh3_64(id.as_bytes()) as u32
}

/// Number of hosts, or of other data centres, that must report an endpoint as
/// unreachable before a host without requests in flight there treats it so.
const DOWN_REPORTS_MIN: usize = 2;
