/// Request at its entry host, the one that received it from the caller.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Request {
    /// Id of the request, as in `x-request-id`.
    pub id: String,
    /// Name of the class.
    pub class: String,
    /// Name of the team; `anonymous` for callers without a key.
    pub team: String,
    /// Name of the pool that serves the request.
    pub pool: String,
    /// `queued`, `dispatched`, `streaming`, `done`, `cut`, `cancelled` or the kind
    /// of its refusal.
    pub state: String,
    /// Time since the request arrived in milliseconds.
    pub age_ms: u64,
    /// Time spent waiting for grants in milliseconds, summed over all attempts.
    pub queue_ms: u64,
    /// Number of retries; 0 for the first attempt.
    pub attempt: u16,
    /// Endpoint of the current or last attempt; `None` before the first grant.
    pub endpoint: Option<String>,
}
