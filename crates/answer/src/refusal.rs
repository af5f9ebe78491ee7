use core::time;

use crate::kind;
use crate::run_state;

/// The reason for which a request was refused, as the caller sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Error kind, which decides the status, the run state and the retry advice.
    pub kind: kind::Kind,
    /// Description of the failure for the caller, without a full stop.
    pub message: String,
    /// Value for `Retry-After`; `None` leaves the header out.
    pub retry_after: Option<time::Duration>,
}

impl Refusal {
    /// Creates a refusal without a retry delay.
    pub fn new(kind: kind::Kind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Sets the delay after which the caller should retry.
    #[must_use]
    pub fn with_retry_after(mut self, delay: time::Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Returns whether the refused work may have run.
    pub const fn run_state(&self) -> run_state::RunState {
        self.kind.entry().run_state
    }
}
