use crate::verdict;

/// Request counts of one bucket. They saturate at 2^32 - 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Counts {
    /// Requests that met their targets.
    pub good: u32,
    /// Requests that missed their targets, indexed by [`crate::Cause`].
    pub bad: [u32; 4],
}

impl Counts {
    /// Counts one request.
    pub(crate) fn add(&mut self, verdict: verdict::Verdict) {
        let count = match verdict {
            verdict::Verdict::Good => &mut self.good,
            verdict::Verdict::Bad(cause) => &mut self.bad[cause as usize],
        };
        *count = count.saturating_add(1);
    }
}
