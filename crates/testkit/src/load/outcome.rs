use core::time;

use crate::text;

/// Outcome of a request for its caller.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Outcome {
    /// An answer was received; the verdict states whether it is complete.
    Answered(text::Verdict),
    /// The request was refused.
    Refused {
        /// HTTP status.
        status: u16,
        /// Field `error.kind` of the response; empty if absent.
        kind: String,
        /// Field `error.run_state` of the response; empty if absent.
        run_state: String,
        /// Value of the header `Retry-After`, if present.
        retry_after: Option<time::Duration>,
    },
    /// The caller hung up early or its time-out expired.
    #[default]
    Cancelled,
    /// The connection failed before or during the response; holds the error chain.
    Broken(String),
}

impl Outcome {
    /// Returns whether the complete answer was received.
    pub fn is_whole(&self) -> bool {
        *self == Self::Answered(text::Verdict::Whole)
    }
}
