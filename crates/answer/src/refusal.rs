use core::time;

use crate::kind;
use crate::run_state;

/// A request that the router gave up on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the request was refused.
    pub kind: kind::Kind,
    /// Sentence for the caller.
    pub message: String,
    /// Delay after which a retry is sensible.
    pub retry_after: Option<time::Duration>,
}

impl Refusal {
    /// Returns a refusal without a retry delay.
    pub fn new(kind: kind::Kind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Sets the delay after which a retry is sensible.
    #[must_use]
    pub fn with_retry_after(mut self, delay: time::Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Returns the run state of the refused work.
    pub const fn run_state(&self) -> run_state::RunState {
        self.kind.entry().run_state
    }
}
