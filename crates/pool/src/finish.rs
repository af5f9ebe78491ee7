/// How a granted ask ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole answer was delivered.
    Complete,
    /// The caller hung up or the entry host cancelled.
    Cancelled,
    /// The endpoint refused before it took the request, such as when it is full.
    Refused,
    /// The connection could not be made.
    Unreachable,
    /// The endpoint failed after it may have received the request.
    Failed,
    /// The grant was not used in time.
    Unused,
}

/// Report of the end of a granted ask.
#[derive(Clone, Copy, Debug)]
pub struct Finish {
    /// How it ended.
    pub outcome: Outcome,
    /// Output tokens generated, delivered or not.
    pub tokens: u32,
}
