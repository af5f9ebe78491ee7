/// Outcome of a run, with respect to its endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole response was delivered.
    Complete,
    /// The run was cancelled for a reason other than the endpoint.
    Cancelled,
    /// The endpoint refused the request, for example because it was full.
    Refused,
    /// The connection could not be established.
    Unreachable,
    /// The endpoint failed after it may have received the request.
    Failed,
    /// The slot was not used.
    Unused,
}
