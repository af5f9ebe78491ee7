use core::time;

use crate::need;

/// Shared parts that are remembered for one endpoint (about 32 bytes each).
const PARTS_MAX: usize = 4_096;

/// The prompt parts that an endpoint has probably cached, as far as this host
/// has sent them there.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cache {
    used: rustc_hash::FxHashMap<u64, time::Duration>,
}

impl Cache {
    /// Notes that the endpoint reads these parts.
    pub(crate) fn note(&mut self, now: time::Duration, parts: &[need::Part]) {
        if self.used.len() + parts.len() > PARTS_MAX {
            self.evict();
        }
        for part in parts {
            self.used.insert(part.id, now);
        }
    }

    /// Returns the leading parts that are cached. A part counts only if all
    /// before it are cached.
    pub(crate) fn leading(&self, parts: &[need::Part]) -> usize {
        parts
            .iter()
            .take_while(|part| self.used.contains_key(&part.id))
            .count()
    }

    /// Drops the less recently used half.
    fn evict(&mut self) {
        let mut times: Vec<time::Duration> = self.used.values().copied().collect();
        let middle = times.len() / 2;
        if times.is_empty() {
            return;
        }
        let (_, &mut median, _) = times.select_nth_unstable(middle);
        self.used.retain(|_, used| *used > median);
    }
}
