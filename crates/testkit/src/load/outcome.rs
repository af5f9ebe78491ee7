use core::time;

use crate::text;

/// How a request ended for its caller.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Outcome {
    /// An answer came; the verdict says whether it is whole.
    Answered(text::Verdict),
    /// The request was refused.
    Refused {
        /// HTTP status.
        status: u16,
        /// `error.kind` of the refusal, or empty.
        kind: String,
        /// `error.run_state` of the refusal, or empty.
        run_state: String,
        /// Value of `Retry-After`.
        retry_after: Option<time::Duration>,
    },
    /// The caller hung up.
    #[default]
    Cancelled,
    /// The connection failed before or during the answer.
    Broken(String),
}

impl Outcome {
    /// Returns whether the whole answer came.
    pub fn is_whole(&self) -> bool {
        *self == Self::Answered(text::Verdict::Whole)
    }
}
