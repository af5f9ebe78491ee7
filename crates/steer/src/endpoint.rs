use core::time;

use xxhash_rust::xxh3;

use crate::cache;
use crate::fault;
use crate::load;
use crate::options;
use crate::report;

/// The load that another host published last, or the sum of the hosts of
/// another data centre.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerLoad {
    pub(crate) load: load::Load,
    pub(crate) at: time::Duration,
}

/// What this host knows of an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) listed: plan::Endpoint,
    pub(crate) tag: u32,
    pub(crate) running: u32,
    pub(crate) prefill_tokens: u32,
    pub(crate) kv_tokens: u32,
    /// Loads by host of the own data centre.
    pub(crate) peers: rustc_hash::FxHashMap<u64, PeerLoad>,
    /// Sums by other data centre.
    pub(crate) sums: rustc_hash::FxHashMap<u64, PeerLoad>,
    pub(crate) report: Option<(report::Report, time::Duration)>,
    /// Whether the report came with an answer to this host.
    pub(crate) is_report_own: bool,
    pub(crate) fault: fault::Fault,
    pub(crate) cache: cache::Cache,
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
        }
    }

    /// Takes the endpoint's word on its load from another host, if it is newer.
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
        for peer in self.fresh(now, options) {
            total.running += f64::from(peer.load.running);
            total.kv_tokens += f64::from(peer.load.kv_tokens);
            // The endpoint goes on reading after the load was published.
            let age = now.saturating_sub(peer.at).as_secs_f64();
            let left = 1.0 - age / options.peer_load_age.as_secs_f64();
            total.prefill_tokens += f64::from(peer.load.prefill_tokens) * left.max(0.0);
        }
        total
    }

    /// Returns the factor by which work takes longer at this moment.
    pub(crate) fn slowness(&self, now: time::Duration, options: &options::Options) -> f64 {
        match self.report {
            Some((report, at)) if now.saturating_sub(at) < options.report_age => {
                f64::from(report.slowness_percent.max(1)) / 100.0
            }
            _ => 1.0,
        }
    }

    /// Returns the share of failed answers. The own experience counts in full
    /// and that of the other hosts, on the mean, by half.
    pub(crate) fn failed(&self, now: time::Duration, options: &options::Options) -> f64 {
        let own = self.fault.failed(now);
        let mut sum = 0.0;
        let mut count = 0.0;
        for peer in self.fresh(now, options) {
            sum += f64::from(peer.load.failed_percent) / 100.0;
            count += 1.0;
        }
        if count > 0.0 {
            own.max(sum / count * 0.5)
        } else {
            own
        }
    }

    /// Returns whether the endpoint is taken for unreachable. Two other hosts
    /// that agree outweigh missing own experience.
    pub(crate) fn is_down(&self, now: time::Duration, options: &options::Options) -> bool {
        if self.fault.is_down(now) {
            return true;
        }
        let votes = self
            .fresh(now, options)
            .filter(|peer| peer.load.is_down)
            .count();
        votes >= DOWN_VOTES && self.running == 0
    }

    fn fresh<'a>(
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

/// Returns the hash by which hosts name an endpoint to each other.
pub(crate) fn tag(id: &str) -> u32 {
    // CAST: The low half of a hash is a hash.
    xxh3::xxh3_64(id.as_bytes()) as u32
}

/// Other hosts that must agree before an endpoint without own requests is
/// taken for unreachable.
const DOWN_VOTES: usize = 2;
