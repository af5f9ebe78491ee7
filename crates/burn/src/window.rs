use core::time;

/// Number of buckets per window.
pub(crate) const BUCKETS: usize = 12;

/// Sliding window over which requests are counted.
///
/// A window consists of twelve buckets, the newest of which is still being filled,
/// so it covers between eleven twelfths and the whole of its length.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Window {
    /// Five minutes.
    Minutes5,
    /// One hour.
    Hour,
    /// Six hours.
    Hours6,
    /// Three days.
    Days3,
}

impl Window {
    /// All windows, the shortest first; the order of every array of totals.
    pub const ALL: [Self; 4] = [Self::Minutes5, Self::Hour, Self::Hours6, Self::Days3];

    /// Returns the nominal length.
    pub const fn length(self) -> time::Duration {
        time::Duration::from_secs(match self {
            Self::Minutes5 => 300,
            Self::Hour => 3_600,
            Self::Hours6 => 6 * 3_600,
            Self::Days3 => 3 * 86_400,
        })
    }

    /// Returns the name in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Minutes5 => "5m",
            Self::Hour => "1h",
            Self::Hours6 => "6h",
            Self::Days3 => "3d",
        }
    }

    /// Returns the number of the bucket that contains a time, counted from time zero.
    pub(crate) fn bucket(self, now: time::Duration) -> u32 {
        let length = self.length().as_secs() / BUCKETS as u64;
        u32::try_from(now.as_secs() / length).unwrap_or(u32::MAX)
    }
}
