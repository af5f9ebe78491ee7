use std::collections;

use crate::settings::admin;
use crate::settings::anonymous;
use crate::settings::class;
use crate::settings::endpoint;
use crate::settings::fleet;
use crate::settings::host;
use crate::settings::limits;
use crate::settings::log;
use crate::settings::metrics;
use crate::settings::once;
use crate::settings::pool;
use crate::settings::team;
use crate::settings::tls;

/// Everything that the settings say, after the check.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This host.
    pub host: host::Host,
    /// Limits of the caller interface.
    pub limits: limits::Limits,
    /// Classes by name.
    pub classes: collections::BTreeMap<String, class::Class>,
    /// Teams by name.
    pub teams: collections::BTreeMap<String, team::Team>,
    /// Callers without a key.
    pub anonymous: anonymous::Anonymous,
    /// Pools by name.
    pub pools: collections::BTreeMap<String, pool::Pool>,
    /// Endpoints by name.
    pub endpoints: collections::BTreeMap<String, endpoint::Endpoint>,
    /// At-most-once execution.
    pub once: once::Once,
    /// The fleet.
    pub fleet: fleet::Fleet,
    /// Metrics.
    pub metrics: metrics::Metrics,
    /// Logs.
    pub log: log::Log,
    /// Certificates of the listeners; without them they are plain.
    pub tls: Option<tls::Tls>,
    /// Keys of the administration API.
    pub admin: admin::Admin,
}
