use crate::cause;

/// Whether a request met its targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It met them.
    Good,
    /// It missed them.
    Bad(cause::Cause),
}
