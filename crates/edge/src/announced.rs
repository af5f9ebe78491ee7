use core::time;

use base::mutex;

use crate::host;

/// Newest version of the configuration that another host or the platform has stated, as
/// long as it is not in force here.
#[derive(Debug, Default)]
pub(crate) struct Announced {
    version: plan::Version,
    /// When the first version was stated that this host did not have.
    since: Option<time::Duration>,
}

impl Announced {
    /// Records a stated version that is above the one in force. Returns whether no version
    /// as high was stated before.
    fn record(&mut self, now: time::Duration, version: plan::Version) -> bool {
        self.since.get_or_insert(now);
        let is_new = version > self.version;
        self.version = self.version.max(version);
        is_new
    }

    /// Records the version that is in force now. Returns for how long the host had known
    /// of a newer one, if it has none to wait for any more.
    fn reach(&mut self, now: time::Duration, version: plan::Version) -> Option<time::Duration> {
        if version < self.version {
            return None;
        }
        self.version = version;
        Some(now.saturating_sub(self.since.take()?))
    }
}

impl host::Host {
    /// Records that another host states this version, which is not in force here.
    pub(crate) fn record_announced(&self, version: plan::Version, source: &str) {
        let now = self.clock.now();
        if mutex::lock(&self.announced).record(now, version) {
            let known = self.plan_version();
            log::info!(
                target: "edge",
                version = version.to_string().as_str(), known = known.to_string().as_str(),
                peer = source;
                "newer configuration announced"
            );
        }
    }

    /// Records the version that is in force now.
    pub(crate) fn record_in_force(&self, version: plan::Version) {
        let lag = mutex::lock(&self.announced).reach(self.clock.now(), version);
        if let Some(lag) = lag {
            self.metrics.time("plan_lag_ms", &[], lag);
        }
    }

    /// Counts a fetch of the state of another host.
    pub(crate) fn record_fetch(&self, result: &str, bytes: u64, took: time::Duration) {
        let tags = [("result", result)];
        self.metrics.time("state_fetch_ms", &tags, took);
        self.metrics.add("state_bytes_fetched", &tags, bytes);
    }
}
