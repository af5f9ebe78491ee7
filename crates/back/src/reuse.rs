/// Whether a request may use a kept connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reuse {
    /// Takes an idle connection where there is one.
    Pooled,
    /// Opens a connection for this request. An idle connection that the
    /// endpoint closes at the same moment leaves the outcome unknown, which a
    /// non-idempotent request must avoid.
    Fresh,
}
