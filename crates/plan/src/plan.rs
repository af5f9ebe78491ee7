use crate::limits;
use crate::route;
use crate::service;
use crate::team;

/// One revision of the configuration of routes, services and teams.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Plan {
    /// Revision number; a higher revision replaces a lower one.
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
