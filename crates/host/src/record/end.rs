/// End of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum End {
    /// The whole answer was delivered.
    Done,
    /// The answer ended early after its first output.
    Cut,
    /// The caller disconnected.
    Cancelled,
    /// The request was refused.
    Refused(answer::Kind),
}

impl End {
    /// Returns the name that lists and log lines show.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Cut => "cut",
            Self::Cancelled => "cancelled",
            Self::Refused(kind) => kind.entry().name,
        }
    }
}
