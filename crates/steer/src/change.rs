/// Difference between two lists of endpoints. Each variant holds the id of the
/// endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// An endpoint was added.
    Added(String),
    /// An endpoint stopped accepting requests and finishes those in flight.
    Leaving(String),
    /// An endpoint that was leaving accepts requests again.
    Returned(String),
    /// An endpoint is no longer listed.
    Removed(String),
}
