/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Once,
    /// A stream of events with increasing ids.
    Stream {
        /// Whether another endpoint can go on after the last event.
        is_resumable: bool,
    },
}

impl Kind {
    /// Returns whether a request may be sent again after it may have run.
    pub const fn is_retryable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::Once => false,
            Self::Stream { is_resumable } => is_resumable,
        }
    }

    /// Returns whether the answer is a series of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}
