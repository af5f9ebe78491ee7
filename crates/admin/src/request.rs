/// A request at its entry host.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Request {
    /// Id of the request, as in `x-request-id`.
    pub id: String,
    /// Name of the class.
    pub class: String,
    /// Name of the team; `anonymous` for callers without a key.
    pub team: String,
    /// Pool of the request.
    pub pool: String,
    /// `queued`, `dispatched`, `streaming`, `done`, `cut`, `cancelled` or the kind
    /// of its refusal.
    pub state: String,
    /// Time since its arrival in milliseconds.
    pub age_ms: u64,
    /// Time that it waited for a grant in milliseconds.
    pub queue_ms: u64,
    /// Number of earlier attempts.
    pub attempt: u16,
    /// Endpoint that runs it or ran it last.
    pub endpoint: Option<String>,
}
