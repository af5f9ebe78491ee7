use crate::key;
use crate::rate;

/// A request that was sent to an endpoint.
///
/// It must be passed to [`crate::Balancer::finish`] exactly once, otherwise its
/// load stays counted.
#[derive(Debug)]
pub struct Run {
    /// Endpoint to which the request was sent.
    pub key: key::Key,
    /// Prompt tokens that count as not yet processed until the first event.
    pub(crate) prefill_tokens: u32,
    /// KV cache tokens that the request occupies at its end.
    pub(crate) kv_tokens: u32,
    /// Whether the first event has arrived.
    pub(crate) has_begun: bool,
    /// When the request was sent.
    pub sent: core::time::Duration,
    /// Unprocessed prompt tokens of other requests at the endpoint at that time.
    pub(crate) ahead_tokens: u32,
    /// What its observations depend on; `None` if the service learns no rates.
    pub(crate) learning: Option<rate::Learning>,
}

impl Run {
    /// Returns the tokens of one event if the time between events is learned.
    pub fn event_tokens(&self) -> Option<u32> {
        let tokens = self.learning.as_ref()?.event_tokens;
        (tokens > 0).then_some(tokens)
    }
}
