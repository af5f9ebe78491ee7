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

/// All settings of a host, one field for each kind of section.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name, location and listeners of this host.
    pub host: host::Host,
    /// Limits of the caller interface.
    pub limits: limits::Limits,
    /// Classes by name.
    pub classes: collections::BTreeMap<String, class::Class>,
    /// Teams by name.
    pub teams: collections::BTreeMap<String, team::Team>,
    /// Class and weight of callers without a key.
    pub anonymous: anonymous::Anonymous,
    /// Pools by name.
    pub pools: collections::BTreeMap<String, pool::Pool>,
    /// Endpoints by name.
    pub endpoints: collections::BTreeMap<String, endpoint::Endpoint>,
    /// Owners and durations of at-most-once execution.
    pub once: once::Once,
    /// Other hosts and the keys shared with them.
    pub fleet: fleet::Fleet,
    /// Destination of the metrics.
    pub metrics: metrics::Metrics,
    /// Format and level of the log.
    pub log: log::Log,
    /// Certificate of the listeners; `None` for listeners without TLS.
    pub tls: Option<tls::Tls>,
    /// Hashes of the keys of the administration API.
    pub admin: admin::Admin,
}
