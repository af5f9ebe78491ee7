/// Decision about a request.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Step {
    /// Time from the arrival of the request to the decision in milliseconds.
    pub at_ms: u64,
    /// Name of the host that recorded the decision.
    pub host: String,
    /// Name of the decision, such as `queued`, `granted` or `shed`.
    pub event: String,
    /// Reason, with the figures that led to the decision.
    pub detail: String,
}

/// Decisions about a request.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Explanation {
    /// Id of the request, as in `x-request-id`.
    pub request: String,
    /// Decisions in chronological order.
    pub steps: Vec<Step>,
}
