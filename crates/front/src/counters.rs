use std::sync::atomic;

/// What happened to connections since the start of the listener.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Connections that are open now.
    pub open: u64,
    /// Connections closed on arrival because too many were open in all.
    pub refused_all: u64,
    /// Connections closed on arrival because too many of their address were open.
    pub refused_address: u64,
    /// TLS handshakes that failed or took too long.
    pub handshakes_failed: u64,
    /// Connections closed because a request head did not arrive in time.
    pub slow_heads: u64,
    /// Connections closed because no request was in flight for the keep-alive time.
    pub idle_closed: u64,
    /// Answers that were given up because their caller did not read them.
    pub stalled: u64,
}

/// Counters that connections add to.
#[derive(Debug, Default)]
pub(crate) struct Cells {
    pub(crate) refused_all: atomic::AtomicU64,
    pub(crate) refused_address: atomic::AtomicU64,
    pub(crate) handshakes_failed: atomic::AtomicU64,
    pub(crate) slow_heads: atomic::AtomicU64,
    pub(crate) idle_closed: atomic::AtomicU64,
    pub(crate) stalled: atomic::AtomicU64,
}

impl Cells {
    /// Returns the counts with this number of open connections.
    pub(crate) fn read(&self, open: u64) -> Counters {
        let load = |cell: &atomic::AtomicU64| cell.load(atomic::Ordering::Relaxed);
        Counters {
            open,
            refused_all: load(&self.refused_all),
            refused_address: load(&self.refused_address),
            handshakes_failed: load(&self.handshakes_failed),
            slow_heads: load(&self.slow_heads),
            idle_closed: load(&self.idle_closed),
            stalled: load(&self.stalled),
        }
    }
}

/// Adds one to a counter.
pub(crate) fn count(cell: &atomic::AtomicU64) {
    cell.fetch_add(1, atomic::Ordering::Relaxed);
}
