use core::time;
use std::collections;

use crate::balancer;
use crate::cold;
use crate::endpoint;
use crate::key;

/// Time for which a data centre stays evacuated that the platform no longer names after
/// a restore. The operator writes lost keys again, mostly within seconds.
const KEPT_TIME: time::Duration = time::Duration::from_secs(10);

/// A data centre that is kept evacuated after a restore of the platform.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Kept {
    /// Name of the data centre.
    pub data_centre: String,
    /// Time for which it is kept, in milliseconds.
    pub left_ms: u32,
}

/// What a host knows of evacuations, in the form that hosts publish.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Evacuated {
    /// What the platform states.
    pub stated: plan::Evacuation,
    /// Data centres that are kept evacuated beyond it.
    pub kept: Vec<Kept>,
}

/// The evacuated data centres by the newest statement of the platform.
///
/// A platform that was restored from an older copy may have lost the keys of data
/// centres that are still evacuated. Those that were known before the new era stay
/// evacuated for the time in which the operator writes the keys again.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    stated: plan::Evacuation,
    kept: collections::BTreeMap<String, time::Duration>,
}

impl Evacuations {
    /// Takes a statement of the platform unless it is older than the known one; returns
    /// whether it did.
    pub fn state(&mut self, now: time::Duration, stated: plan::Evacuation) -> bool {
        let known = self.stated.version;
        if !stated.version.is_some() || stated.version <= known {
            return false;
        }
        if known.is_some() && stated.version.era > known.era {
            let until = now + KEPT_TIME;
            let lost = core::mem::take(&mut self.stated.data_centres);
            self.kept.extend(lost.into_iter().map(|name| (name, until)));
        }
        // The end of an evacuation that is stated again counts at once.
        self.kept
            .retain(|name, _| !stated.data_centres.contains(name));
        self.stated = stated;
        true
    }

    /// Takes what another host knows; returns whether it was newer. A host without a
    /// statement, which has just started, also keeps what the other one keeps.
    pub fn learn(&mut self, now: time::Duration, summary: &Evacuated) -> bool {
        let is_first = !self.stated.version.is_some();
        if !self.state(now, summary.stated.clone()) {
            return false;
        }
        if is_first {
            let until = |kept: &Kept| now + time::Duration::from_millis(kept.left_ms.into());
            let kept = summary.kept.iter();
            let kept = kept.filter(|kept| !self.stated.data_centres.contains(&kept.data_centre));
            self.kept
                .extend(kept.map(|kept| (kept.data_centre.clone(), until(kept))));
        }
        true
    }

    /// Returns the evacuated data centres.
    pub fn data_centres(&self, now: time::Duration) -> collections::BTreeSet<String> {
        let kept = self.kept.iter().filter(|(_, until)| now < **until);
        let kept = kept.map(|(name, _)| name.clone());
        self.stated
            .data_centres
            .iter()
            .cloned()
            .chain(kept)
            .collect()
    }

    /// Returns what this host knows, for publication.
    pub fn summary(&self, now: time::Duration) -> Evacuated {
        let kept = self.kept.iter().filter(|(_, until)| now < **until);
        let kept = kept.map(|(name, until)| Kept {
            data_centre: name.clone(),
            // CAST: The time is at most `KEPT_TIME`.
            left_ms: until.saturating_sub(now).as_millis() as u32,
        });
        Evacuated {
            stated: self.stated.clone(),
            kept: kept.collect(),
        }
    }

    /// Returns the version of the statement in force.
    pub const fn version(&self) -> plan::Version {
        self.stated.version
    }
}

impl balancer::Balancer {
    /// Replaces the evacuated data centres. Their endpoints get no requests; the list of
    /// endpoints stays as it is. Those of a data centre that returns are cold.
    pub fn set_evacuated(
        &mut self,
        now: time::Duration,
        data_centres: collections::BTreeSet<String>,
    ) {
        let before = core::mem::replace(&mut self.evacuated, data_centres);
        self.evacuated_since
            .retain(|name, _| self.evacuated.contains(name));
        for name in &self.evacuated {
            self.evacuated_since.entry(name.clone()).or_insert(now);
        }
        let has_returned = |endpoint: &endpoint::Endpoint| {
            let name = &endpoint.listed.data_centre;
            before.contains(name) && !self.evacuated.contains(name)
        };
        let returned = self.endpoints.iter();
        let returned = returned.filter(|(_, endpoint)| has_returned(endpoint));
        let returned: Vec<key::Key> = returned.map(|(key, _)| key).collect();
        for key in returned {
            self.mark_cold(now, key, None, cold::Source::Evacuation);
        }
    }

    /// Returns the evacuated data centres.
    pub const fn evacuated(&self) -> &collections::BTreeSet<String> {
        &self.evacuated
    }

    /// Returns since when each evacuated data centre has been evacuated.
    pub const fn evacuated_since(&self) -> &collections::BTreeMap<String, time::Duration> {
        &self.evacuated_since
    }

    /// Returns the number of listed endpoints in evacuated data centres.
    pub fn evacuated_count(&self) -> usize {
        let endpoints = self.endpoints.values();
        endpoints
            .filter(|endpoint| self.is_evacuated(endpoint))
            .count()
    }

    /// Returns the number of endpoints of a service in evacuated data centres.
    pub fn evacuated_in(&self, service: &str) -> usize {
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter()
            .filter(|key| self.is_evacuated(&self.endpoints[**key]))
            .count()
    }

    /// Returns whether the data centre of the endpoint is evacuated.
    pub(crate) fn is_evacuated(&self, endpoint: &endpoint::Endpoint) -> bool {
        self.evacuated.contains(&endpoint.listed.data_centre)
    }
}
