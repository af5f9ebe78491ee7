use std::sync;
use std::sync::atomic;

/// Number of answers on a connection, shared by all of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Uses(sync::Arc<atomic::AtomicU32>);

impl Uses {
    /// Counts an answer; returns whether the connection has carried another one before.
    pub(crate) fn count(&self) -> bool {
        self.0.fetch_add(1, atomic::Ordering::Relaxed) > 0
    }
}

/// Extension of a response on a connection that has carried another one before. What an
/// endpoint wrote twice arrives there as the answer to the next request.
#[derive(Clone, Copy, Debug)]
pub struct Reused;
