use std::sync;

use crate::class;
use crate::drain;
use crate::endpoint;
use crate::explanation;
use crate::host;
use crate::keys;
use crate::request;
use crate::settings;
use crate::status;
use crate::team;

/// State of the host behind the administration API.
///
/// The methods must return at once. They give what this host knows; other hosts
/// are asked at their own addresses.
pub trait Source: Send + Sync + 'static {
    /// Returns the keys in force.
    fn keys(&self) -> sync::Arc<keys::Keys>;

    /// Returns the state of the host.
    fn status(&self) -> status::Status;

    /// Returns the settings in force without secrets.
    fn settings(&self) -> settings::Settings;

    /// Returns the membership.
    fn hosts(&self) -> Vec<host::Host>;

    /// Returns all endpoints.
    fn endpoints(&self) -> Vec<endpoint::Endpoint>;

    /// Returns all classes.
    fn classes(&self) -> Vec<class::Class>;

    /// Returns all teams.
    fn teams(&self) -> Vec<team::Team>;

    /// Returns at most `limit` requests of this host's callers, the open ones
    /// first and then the latest.
    fn requests(&self, limit: usize) -> Vec<request::Request>;

    /// Returns the decisions about a request, while they are kept.
    fn explain(&self, request: &str) -> Option<explanation::Explanation>;

    /// Returns what this host counted against the service levels.
    fn burn(&self) -> burn::Snapshot;

    /// Takes no new work for a host or an endpoint.
    ///
    /// # Errors
    ///
    /// Refuses a name that this host cannot drain.
    fn drain(&self, order: &drain::Drain) -> Result<drain::Drained, answer::Refusal>;

    /// Takes a host or an endpoint back into service.
    ///
    /// # Errors
    ///
    /// Refuses a name that this host cannot take back.
    fn undrain(&self, order: &drain::Drain) -> Result<drain::Drained, answer::Refusal>;
}
