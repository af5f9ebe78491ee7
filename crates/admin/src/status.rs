/// A revision that did not pass the check.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Rejection {
    /// The revision.
    pub revision: u64,
    /// Why it was refused.
    pub reason: String,
}

/// State of the host.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Status {
    /// Host name.
    pub name: String,
    /// Start of the process lifetime in Unix milliseconds.
    pub incarnation: u64,
    /// Version of the program.
    pub version: String,
    /// Data centre.
    pub data_centre: String,
    /// Region.
    pub region: String,
    /// Whether the host takes no new callers.
    pub leaving: bool,
    /// Time since the start in milliseconds.
    pub uptime_ms: u64,
    /// Configuration revision in force.
    pub revision: u64,
    /// SHA-256 of the configuration in hexadecimal digits.
    pub content: String,
    /// Time since the configuration came into force in milliseconds.
    pub revision_age_ms: u64,
    /// Last revision that did not pass the check.
    pub refused: Option<Rejection>,
    /// Time since the platform last answered in milliseconds.
    pub platform_ms: Option<u64>,
    /// Hosts that are up, as far as known.
    pub hosts: u64,
    /// Shards of which this host is the home.
    pub shards: u64,
    /// Requests of this host's callers.
    pub requests: u64,
    /// Whether the host holds the lease of an owner; `None` if it is no owner.
    pub lease: Option<bool>,
}
