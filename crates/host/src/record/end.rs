/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum End {
    /// The whole answer was delivered.
    Done,
    /// The answer broke off after its first output.
    Cut,
    /// The caller hung up.
    Cancelled,
    /// The request was refused.
    Refused(answer::Kind),
}

impl End {
    /// Returns the name in lists and logs.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Cut => "cut",
            Self::Cancelled => "cancelled",
            Self::Refused(kind) => kind.entry().name,
        }
    }
}
