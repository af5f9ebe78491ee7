/// Outcome of a granted request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole response was delivered.
    Complete,
    /// The caller disconnected or the entry host cancelled the request.
    Cancelled,
    /// The endpoint refused the request without running it, for instance because it
    /// is full.
    Refused,
    /// No connection to the endpoint could be made.
    Unreachable,
    /// The connection to the endpoint broke before its answer was whole, or the endpoint
    /// fell silent. It may have crashed.
    Broken,
    /// The endpoint answered with a failure, or ended a part of its answer as declared, so
    /// it has not crashed.
    Failed,
    /// The request was not sent, for instance because the grant came too late.
    Unused,
}

/// Report of the end of a granted request.
#[derive(Clone, Copy, Debug)]
pub struct Finish {
    /// Whether the request ran, and how it ended.
    pub outcome: Outcome,
    /// Number of generated output tokens, whether delivered or not.
    pub tokens: u32,
}
