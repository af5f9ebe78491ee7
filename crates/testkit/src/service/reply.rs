use core::time;

/// How a request fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Status without effect.
    Refuse(u16),
    /// The connection is cut without effect.
    CutBefore,
    /// Status after the effect.
    Status(u16),
    /// The connection is cut after the effect and before the answer.
    CutAfter,
    /// The connection is cut in the middle of the answer.
    CutWithin,
}

/// Script for one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reply {
    /// Time before the effect, in addition to the usual delay.
    pub before: time::Duration,
    /// Time between the effect and the answer.
    pub after: time::Duration,
    /// Time between the two halves of the answer's body.
    pub within: time::Duration,
    /// How the request fails.
    pub fault: Option<Fault>,
}
