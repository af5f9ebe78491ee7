use core::time;

/// Fault of a scripted reply. The effect is the entry in the list of executions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The service responds with this status and there is no effect.
    Refuse(u16),
    /// The connection is closed and there is no effect.
    CutBefore,
    /// The service responds with this status after the effect.
    Status(u16),
    /// The connection is closed after the effect and before the response.
    CutAfter,
    /// The connection is closed in the middle of the response body.
    CutWithin,
}

/// Scripted reply to one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reply {
    /// Time before the effect, in addition to the delay of the service.
    pub before: time::Duration,
    /// Time between the effect and the response.
    pub after: time::Duration,
    /// Time between the two halves of the response body.
    pub within: time::Duration,
    /// Fault of the request; `None` for success.
    pub fault: Option<Fault>,
}
