/// Definition and load of a class of requests on this host.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Tier; 0 is the highest.
    pub tier: u8,
    /// Target for the time to the first token in milliseconds.
    pub target_first_ms: u64,
    /// Target for the time between tokens in milliseconds; `None` without one.
    pub target_gap_ms: Option<u64>,
    /// Requests queued in the shards that this host is or was home of.
    pub queued: u64,
    /// Requests of this host's callers that hold a grant.
    pub in_flight: u64,
    /// Requests served since the process started.
    pub served: u64,
    /// Requests refused since the process started, excluding `shed`.
    pub refused: u64,
    /// Requests shed since the process started.
    pub shed: u64,
    /// Share of requests that met their targets within the last five minutes, 0 to
    /// 1; `None` without requests.
    pub attainment: Option<f64>,
    /// Burn rate of the error budget within the last five minutes: the share of
    /// requests that missed their targets divided by the allowed share. 1 uses up the
    /// budget exactly; `None` without requests.
    pub burn: Option<f64>,
    /// Longest estimated wait of a new request over all shards of this host in
    /// milliseconds.
    pub wait_ms: u64,
}
