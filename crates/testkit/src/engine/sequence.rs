use std::sync;
use std::sync::atomic;

use tokio::sync::mpsc;

/// Event that the batch sends to the response of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Event {
    /// The next token was generated.
    Token,
    /// The last token was generated.
    End,
}

/// Progress of a request, shared by the batch and the response.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Output tokens generated so far.
    pub(crate) tokens: atomic::AtomicU32,
    /// Whether the tokens were already counted as completed, wasted or lost.
    pub(crate) settled: atomic::AtomicBool,
}

/// Request that is queued or running in the engine.
pub(crate) struct Sequence {
    pub(crate) serial: u64,
    pub(crate) tag: String,
    pub(crate) priority: i64,
    pub(crate) prompt: String,
    /// Prompt tokens that are still to be prefilled.
    pub(crate) prompt_left: u32,
    /// Prompt tokens that the current step prefills.
    pub(crate) chunk: u32,
    /// Output tokens to generate.
    pub(crate) length: u32,
    /// Output tokens after which the request crashes the engine.
    pub(crate) crash_after: Option<u32>,
    pub(crate) progress: sync::Arc<Progress>,
    pub(crate) sender: mpsc::UnboundedSender<Event>,
}
