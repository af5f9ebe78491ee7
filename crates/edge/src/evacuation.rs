use core::time;

use base::mutex;

use crate::host;

impl host::Host {
    /// Takes the evacuated data centres that were read from the platform. An older
    /// statement than the known one is ignored.
    pub fn read_evacuation(&self, evacuation: plan::Evacuation) {
        let now = self.clock.now();
        self.record_era(evacuation.version.era, "platform");
        if mutex::lock(&self.evacuations).state(now, evacuation) {
            self.put_evacuation_in_force(now, "platform");
        }
    }

    /// Takes what another host knows of evacuations.
    pub(crate) fn apply_evacuation(
        &self,
        now: time::Duration,
        summary: &steer::Evacuated,
        source: &str,
    ) {
        if mutex::lock(&self.evacuations).learn(now, summary) {
            self.put_evacuation_in_force(now, source);
        }
    }

    /// Ends evacuations that were kept after a restore and are not stated again.
    pub(crate) fn use_evacuation(&self, now: time::Duration) {
        self.put_evacuation_in_force(now, "kept");
    }

    /// Returns what this host knows of evacuations, for publication.
    pub(crate) fn evacuation_summary(&self, now: time::Duration) -> steer::Evacuated {
        mutex::lock(&self.evacuations).summary(now)
    }

    fn put_evacuation_in_force(&self, now: time::Duration, source: &str) {
        let evacuations = mutex::lock(&self.evacuations);
        let data_centres = evacuations.data_centres(now);
        let version = evacuations.version();
        // The lock orders concurrent statements.
        let before = {
            let mut balancer = mutex::lock(&self.balancer);
            if *balancer.evacuated() == data_centres {
                return;
            }
            let before = balancer.evacuated_since().clone();
            balancer.set_evacuated(now, data_centres.clone());
            before
        };
        drop(evacuations);
        self.share_limits(now);
        self.changed.notify_one();
        let version = version.to_string();
        for name in data_centres
            .iter()
            .filter(|name| !before.contains_key(*name))
        {
            log::warn!(
                target: "edge",
                data_centre = name.as_str(), state = "evacuated",
                version = version.as_str(), source = source;
                "data centre evacuated: its endpoints get no requests"
            );
        }
        for (name, since) in before
            .iter()
            .filter(|(name, _)| !data_centres.contains(*name))
        {
            log::info!(
                target: "edge",
                data_centre = name.as_str(), state = "returned",
                version = version.as_str(), source = source,
                age_ms = now.saturating_sub(*since).as_millis() as u64;
                "evacuation of the data centre has ended"
            );
        }
    }
}
