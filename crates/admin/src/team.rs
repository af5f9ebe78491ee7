/// A team among this host's callers.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Team {
    /// Name of the team; `anonymous` for all callers without a key.
    pub name: String,
    /// Weight against other teams.
    pub weight: f64,
    /// Class of its requests, unless the pool gives another.
    pub class: Option<String>,
    /// Requests of this host's callers in queues.
    pub queued: u64,
    /// Requests granted and not ended.
    pub in_flight: u64,
    /// Requests served since the start.
    pub served: u64,
    /// Tokens served since the start.
    pub tokens: u64,
}
