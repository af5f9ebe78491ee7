/// Configuration revision that failed validation.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Rejection {
    /// Number of the revision.
    pub revision: u64,
    /// Reason of the rejection.
    pub reason: String,
}

/// State of the responding host.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Status {
    /// Host name.
    pub name: String,
    /// Start time of the process in Unix milliseconds.
    pub incarnation: u64,
    /// Version of the program.
    pub version: String,
    /// Data centre that the host is in.
    pub data_centre: String,
    /// Region that the host is in.
    pub region: String,
    /// Whether the host is leaving and is no longer listed for callers.
    pub leaving: bool,
    /// Time since the process started in milliseconds.
    pub uptime_ms: u64,
    /// Configuration revision in force; 0 for settings from the local folder.
    pub revision: u64,
    /// SHA-256 hash of the configuration in hexadecimal.
    pub content: String,
    /// Time since the configuration came into force in milliseconds.
    pub revision_age_ms: u64,
    /// Last revision that failed validation; `None` if there is none.
    pub refused: Option<Rejection>,
    /// Time since the last response from the platform in milliseconds; `None` if there
    /// was none.
    pub platform_ms: Option<u64>,
    /// Number of hosts that are up according to this host's membership list.
    pub hosts: u64,
    /// Number of shards that this host is home of.
    pub shards: u64,
    /// Number of open requests of this host's callers.
    pub requests: u64,
    /// Whether the host holds its lease as an owner of idempotency keys; `None` if it
    /// is not an owner.
    pub lease: Option<bool>,
}
