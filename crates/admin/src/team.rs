/// Load that a team's callers cause on this host.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Team {
    /// Name of the team; `anonymous` for all callers without a key.
    pub name: String,
    /// Weight in the fair share among teams.
    pub weight: f64,
    /// Class of the team's requests where the pool does not set another one.
    pub class: Option<String>,
    /// Requests that wait for a grant.
    pub queued: u64,
    /// Requests that hold a grant.
    pub in_flight: u64,
    /// Requests served since the process started.
    pub served: u64,
    /// Tokens served since the process started.
    pub tokens: u64,
}
