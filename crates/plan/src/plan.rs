use crate::limits;
use crate::route;
use crate::service;
use crate::team;

/// One revision of the routes, services and teams.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Plan {
    /// Revision; a higher one replaces a lower one.
    pub revision: u64,
    /// Routes in the order in which they were written.
    pub routes: Vec<route::Route>,
    /// Services that routes name.
    pub services: Vec<service::Service>,
    /// Bounds of requests.
    pub limits: limits::Limits,
    /// Teams; without any, no request needs a key.
    pub teams: Vec<team::Team>,
}
