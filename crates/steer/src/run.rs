use crate::key;

/// A request that was sent to an endpoint. It must be handed back to
/// [`crate::Balancer::finish`] exactly once.
#[derive(Debug)]
pub struct Run {
    /// Endpoint.
    pub key: key::Key,
    /// Prompt tokens that count as unread until the first event.
    pub(crate) prefill_tokens: u32,
    /// Tokens that the request holds in memory at its end.
    pub(crate) kv_tokens: u32,
    /// Whether the first event has arrived.
    pub(crate) has_begun: bool,
    /// When it was sent.
    pub(crate) sent: core::time::Duration,
    /// Unread tokens of other requests at the endpoint when it was sent.
    pub(crate) ahead_tokens: u32,
}
