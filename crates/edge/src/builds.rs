use core::time;
use std::collections;

use crate::gossip;

/// Longest time for which builds that are no longer listed are known.
const HISTORY: time::Duration = time::Duration::from_secs(120);

/// Builds of some endpoints; `None` stands for endpoints whose build is not known.
pub(crate) type Set = collections::BTreeSet<Option<plan::Build>>;

/// Builds of the endpoints of a service.
#[derive(Debug, Default)]
struct History {
    listed: Set,
    /// Builds that were listed, and until when.
    past: collections::BTreeMap<Option<plan::Build>, time::Duration>,
}

/// Builds of the endpoints of all services, with their recent past.
#[derive(Debug, Default)]
pub(crate) struct Builds(collections::HashMap<u64, History>);

impl Builds {
    /// Takes the endpoints that are listed from now on. Returns the services that had
    /// endpoints of one build and now have others as well.
    pub(crate) fn update(&mut self, now: time::Duration, endpoints: &[plan::Endpoint]) -> Vec<u64> {
        let mut listed: collections::HashMap<u64, Set> = collections::HashMap::new();
        for endpoint in endpoints {
            let builds = listed.entry(gossip::name_hash(&endpoint.service));
            builds.or_default().insert(endpoint.build());
        }
        let mut mixed = Vec::new();
        for (service, history) in &mut self.0 {
            let builds = listed.remove(service).unwrap_or_default();
            if history.listed.len() == 1 && !builds.is_subset(&history.listed) {
                mixed.push(*service);
            }
            let before = core::mem::replace(&mut history.listed, builds);
            history
                .past
                .extend(before.into_iter().map(|build| (build, now)));
            history.past.retain(|_, until| *until + HISTORY >= now);
        }
        self.0.extend(listed.into_iter().map(|(service, listed)| {
            let past = collections::BTreeMap::new();
            (service, History { listed, past })
        }));
        self.0
            .retain(|_, history| !history.listed.is_empty() || !history.past.is_empty());
        mixed
    }

    /// Returns the builds of a service that were listed at some moment of the last
    /// `life`.
    pub(crate) fn recent(&self, now: time::Duration, service: u64, life: time::Duration) -> Set {
        let Some(history) = self.0.get(&service) else {
            return Set::new();
        };
        let past = history
            .past
            .iter()
            .filter(|(_, until)| **until + life >= now);
        let past = past.map(|(build, _)| *build);
        history.listed.iter().copied().chain(past).collect()
    }
}
