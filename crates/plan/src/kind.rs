/// Retry semantics of the requests of a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request must run at most once.
    Once,
    /// The answer is a stream of events with increasing ids.
    Stream {
        /// Whether another endpoint can resume after the last event received.
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

    /// Returns whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}
