use std::collections;

use crate::limits;
use crate::route;
use crate::service;
use crate::team;
use crate::version;

/// One revision of the configuration of routes, services and teams.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Plan {
    /// Era of the platform to which the plan counts. Snapshots between hosts state it
    /// beside the plan, because hosts of earlier builds do not expect it here.
    #[serde(skip)]
    pub era: u64,
    /// Revision number; a higher revision replaces a lower one of the same era.
    pub revision: u64,
    /// Routes in the order of the configuration; with equal prefixes, the first
    /// one applies.
    pub routes: Vec<route::Route>,
    /// Services to which routes refer by name.
    pub services: Vec<service::Service>,
    /// Limits on requests of all routes.
    pub limits: limits::Limits,
    /// Teams. If there are none, no request needs a key.
    pub teams: Vec<team::Team>,
}

impl Plan {
    /// Returns the version by which plans are ordered.
    pub const fn version(&self) -> version::Version {
        version::Version::new(self.era, self.revision)
    }

    /// Returns whether a route of an earlier plan has other services or weights here.
    pub fn moves_routes_of(&self, before: &Self) -> bool {
        let targets: collections::HashMap<(&str, &str), &[route::Target]> = before
            .routes
            .iter()
            .map(|route| (route.key(), &route.targets[..]))
            .collect();
        self.routes.iter().any(|route| {
            let known = targets.get(&route.key());
            known.is_some_and(|known| **known != route.targets[..])
        })
    }
}
