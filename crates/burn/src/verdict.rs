use crate::cause;

/// Whether a request met its targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request met its targets.
    Good,
    /// The request missed a target or got no answer, for this main cause.
    Bad(cause::Cause),
}
