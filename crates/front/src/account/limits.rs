use core::time;

/// Rate in bytes per second below which a caller falls behind by default.
const RATE: u64 = 8 * 1_024;

/// Bounds of an account.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of all kinds together.
    pub bytes: usize,
    /// Bytes of request bodies, except those of holders of few bytes.
    pub body_bytes: usize,
    /// Bytes beyond `bytes` that only holders of few bytes use, so that ordinary callers
    /// are served while others have filled the rest.
    pub reserve_bytes: usize,
    /// Rate in bytes per second below which a caller falls behind.
    pub rate: u64,
}

impl Limits {
    /// Returns the bounds for a process with this memory. More than these bytes is used in
    /// fact, because of what the allocator and the HTTP library add.
    pub const fn of_memory(bytes: usize) -> Self {
        Self::of_budget(bytes / 100 * 35)
    }

    /// Returns the bounds for this many reserved bytes, of which bodies use up to four
    /// sevenths. An eighth is kept for holders of few bytes.
    pub const fn of_budget(bytes: usize) -> Self {
        let reserve_bytes = bytes / 8;
        Self {
            bytes: bytes - reserve_bytes,
            body_bytes: bytes / 7 * 4,
            reserve_bytes,
            rate: RATE,
        }
    }

    /// Returns the longest time in which a caller should send or read this many bytes.
    pub(crate) fn time_of(&self, bytes: usize) -> time::Duration {
        let ms = (bytes as u64).saturating_mul(1_000) / self.rate.max(1);
        time::Duration::from_millis(ms)
    }
}
