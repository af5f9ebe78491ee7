use std::sync;
use std::sync::atomic;

use tokio::sync::mpsc;

/// What the batch tells the answer of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Event {
    /// The next token was generated.
    Token,
    /// The last token was generated.
    End,
}

/// What batch and answer both know about a request.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Output tokens generated so far.
    pub(crate) tokens: atomic::AtomicU32,
    /// Whether the tokens were already counted as delivered, wasted or lost.
    pub(crate) settled: atomic::AtomicBool,
}

/// A request inside the engine.
pub(crate) struct Sequence {
    pub(crate) serial: u64,
    pub(crate) tag: String,
    pub(crate) priority: i64,
    pub(crate) prompt: String,
    /// Prompt tokens that are not yet prefilled.
    pub(crate) prompt_left: u32,
    /// Prompt tokens that the current step prefills.
    pub(crate) chunk: u32,
    pub(crate) length: u32,
    pub(crate) crash_after: Option<u32>,
    pub(crate) progress: sync::Arc<Progress>,
    pub(crate) sink: mpsc::UnboundedSender<Event>,
}
