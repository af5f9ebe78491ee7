use core::time;
use std::collections;

use crate::gossip;

/// Longest time for which it is known which builds were listed alone.
const HISTORY: time::Duration = time::Duration::from_secs(120);

/// Builds of the endpoints of a service that accept requests.
#[derive(Debug, Default)]
struct History {
    /// Builds that are listed; `None` stands for endpoints whose build is not known.
    listed: collections::BTreeSet<Option<plan::Build>>,
    /// Builds that were the only one listed, and until when.
    alone: collections::BTreeMap<plan::Build, time::Duration>,
}

impl History {
    /// Returns the only build that is listed.
    fn only(&self) -> Option<plan::Build> {
        let first = self.listed.first().copied().flatten();
        first.filter(|_| self.listed.len() == 1)
    }
}

/// Builds of the endpoints of all services, with their recent past.
///
/// Hosts publish the build of a stream only if they list several builds. A stream of
/// which no host knows the build therefore began while its host listed one alone.
#[derive(Debug, Default)]
pub(crate) struct Builds(collections::HashMap<u64, History>);

impl Builds {
    /// Takes the endpoints that are listed from now on. The last list was confirmed
    /// at `confirmed`; what was alone in it is not known to have been so later.
    pub(crate) fn update(
        &mut self,
        now: time::Duration,
        confirmed: time::Duration,
        endpoints: &[plan::Endpoint],
    ) {
        let mut listed: collections::HashMap<u64, collections::BTreeSet<_>> =
            collections::HashMap::new();
        for endpoint in endpoints {
            if endpoint.phase == plan::Phase::Up {
                let builds = listed.entry(gossip::name_hash(&endpoint.service));
                builds.or_default().insert(endpoint.build());
            }
        }
        for history in self.0.values_mut() {
            if let Some(build) = history.only() {
                let until = history.alone.entry(build).or_default();
                *until = confirmed.min(now).max(*until);
            }
            history.listed.clear();
            history.alone.retain(|_, until| *until + HISTORY >= now);
        }
        for (service, builds) in listed {
            self.0.entry(service).or_default().listed = builds;
        }
        self.0
            .retain(|_, history| !history.listed.is_empty() || !history.alone.is_empty());
    }

    /// Returns whether the endpoints of a service are not known to be of one build.
    pub(crate) fn is_mixed(&self, service: u64) -> bool {
        let history = self.0.get(&service);
        history.is_none_or(|history| history.only().is_none())
    }

    /// Returns the builds that were the only one of their service at some moment of
    /// the last `life`.
    pub(crate) fn alone(
        &self,
        now: time::Duration,
        service: u64,
        life: time::Duration,
    ) -> collections::BTreeSet<plan::Build> {
        let Some(history) = self.0.get(&service) else {
            return collections::BTreeSet::new();
        };
        let recent = history
            .alone
            .iter()
            .filter(|(_, until)| **until + life >= now);
        recent
            .map(|(build, _)| *build)
            .chain(history.only())
            .collect()
    }
}
