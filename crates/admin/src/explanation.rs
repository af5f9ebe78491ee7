/// A decision about a request.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Step {
    /// Time since the request arrived in milliseconds.
    pub at_ms: u64,
    /// Name of the host that decided.
    pub host: String,
    /// What was decided, such as `queued`, `granted` or `shed`.
    pub event: String,
    /// Why, with the figures that decided.
    pub detail: String,
}

/// Decisions about a request in the order of time.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Explanation {
    /// Id of the request, as in `x-request-id`.
    pub request: String,
    /// The decisions.
    pub steps: Vec<Step>,
}
