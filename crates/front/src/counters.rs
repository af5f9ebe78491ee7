use std::sync::atomic;

/// Connection counts of a [`Server`](crate::Server) since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Connections that are open now.
    pub open: u64,
    /// Connections closed on arrival because of the limit on open connections.
    pub refused_all: u64,
    /// Connections closed on arrival because of the limit on open connections of
    /// one caller address.
    pub refused_address: u64,
    /// TLS handshakes that failed or timed out.
    pub handshakes_failed: u64,
    /// Connections closed because a request head did not arrive in time.
    pub slow_heads: u64,
    /// Connections closed because no request was in flight for
    /// [`Options::keep_alive`](crate::Options::keep_alive).
    pub idle_closed: u64,
    /// Responses abandoned because the caller did not read them.
    pub stalled: u64,
}

/// Counters that connections increment concurrently.
#[derive(Debug, Default)]
pub(crate) struct Atomics {
    pub(crate) refused_all: atomic::AtomicU64,
    pub(crate) refused_address: atomic::AtomicU64,
    pub(crate) handshakes_failed: atomic::AtomicU64,
    pub(crate) slow_heads: atomic::AtomicU64,
    pub(crate) idle_closed: atomic::AtomicU64,
    pub(crate) stalled: atomic::AtomicU64,
}

impl Atomics {
    /// Returns the current counts, with `open` open connections.
    pub(crate) fn snapshot(&self, open: u64) -> Counters {
        let load = |counter: &atomic::AtomicU64| counter.load(atomic::Ordering::Relaxed);
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
pub(crate) fn increment(counter: &atomic::AtomicU64) {
    counter.fetch_add(1, atomic::Ordering::Relaxed);
}
