/// A class on this host.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Tier; 0 is the highest.
    pub tier: u8,
    /// Target for the time to the first token in milliseconds.
    pub target_first_ms: u64,
    /// Target for the time between tokens in milliseconds.
    pub target_gap_ms: Option<u64>,
    /// Requests in the queues of this host's shards.
    pub queued: u64,
    /// Requests of this host's callers that hold a grant.
    pub in_flight: u64,
    /// Requests served since the start.
    pub served: u64,
    /// Requests refused since the start, without those that were shed.
    pub refused: u64,
    /// Requests shed since the start.
    pub shed: u64,
    /// Share of requests that met their target in the last window, 0 to 1.
    pub attainment: Option<f64>,
    /// Rate at which the allowed share of missed targets is used up; 1 is
    /// sustainable.
    pub burn: Option<f64>,
    /// Longest estimated wait of a new request in this host's shards in
    /// milliseconds.
    pub wait_ms: u64,
}
