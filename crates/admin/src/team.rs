/// A team on this host's shards.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Team {
    /// Name of the team; empty for all anonymous callers.
    pub name: String,
    /// Weight against other teams.
    pub weight: f64,
    /// Class of its requests, unless the pool gives another.
    pub class: Option<String>,
    /// Requests in the queues.
    pub queued: u64,
    /// Requests granted and not ended.
    pub in_flight: u64,
    /// Requests served since the start.
    pub served: u64,
    /// Tokens served since the start.
    pub tokens: u64,
}
