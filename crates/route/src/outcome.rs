/// How a run ended, as far as its endpoint is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole answer was delivered.
    Complete,
    /// The run was cancelled from outside.
    Cancelled,
    /// The endpoint refused the request, such as when it is full.
    Refused,
    /// The connection could not be made.
    Unreachable,
    /// The endpoint failed after it may have received the request.
    Failed,
    /// The place was not used.
    Unused,
}
