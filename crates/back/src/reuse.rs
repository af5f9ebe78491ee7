/// Whether a request may use a pooled connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reuse {
    /// Uses a pooled connection if there is one and opens one otherwise.
    Pooled,
    /// Opens a connection for this request alone. A pooled connection that the
    /// endpoint closes while the request is being sent leaves the outcome
    /// unknown, which a non-idempotent request must avoid.
    Fresh,
}
