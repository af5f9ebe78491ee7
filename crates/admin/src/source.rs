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

/// State of one host, as the administration API serves it.
///
/// The methods are called in async handlers and must not block. They return what this
/// host knows; a client that needs the state of other hosts queries those directly.
pub trait Source: Send + Sync + 'static {
    /// Returns the accepted keys of the settings in force.
    fn keys(&self) -> sync::Arc<keys::Keys>;

    /// Returns the state of the host.
    fn status(&self) -> status::Status;

    /// Returns the settings in force with masked secrets.
    fn settings(&self) -> settings::Settings;

    /// Returns the hosts in the membership list.
    fn hosts(&self) -> Vec<host::Host>;

    /// Returns the endpoints of every pool.
    fn endpoints(&self) -> Vec<endpoint::Endpoint>;

    /// Returns every class of the settings.
    fn classes(&self) -> Vec<class::Class>;

    /// Returns every team, including the one of callers without a key.
    fn teams(&self) -> Vec<team::Team>;

    /// Returns at most `limit` requests of this host's callers: open requests first,
    /// then recently ended ones, each with the latest arrival first.
    fn requests(&self, limit: usize) -> Vec<request::Request>;

    /// Returns the decisions about the request with this id; `None` if the host never
    /// received it or no longer stores it.
    fn explain(&self, request: &str) -> Option<explanation::Explanation>;

    /// Returns this host's counts of requests within and outside their service levels.
    fn burn(&self) -> burn::Snapshot;

    /// Stops sending new requests to a host or an endpoint.
    ///
    /// # Errors
    ///
    /// Returns a refusal if this host cannot drain the named object.
    fn drain(&self, request: &drain::Drain) -> Result<drain::Drained, answer::Refusal>;

    /// Returns a host or an endpoint to service.
    ///
    /// # Errors
    ///
    /// Returns a refusal if this host cannot return the named object to service.
    fn undrain(&self, request: &drain::Drain) -> Result<drain::Drained, answer::Refusal>;
}
