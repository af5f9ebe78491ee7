use core::time;

use crate::work;

/// Largest number of parts that are tracked per endpoint, at about 40 bytes
/// each.
const PARTS_MAX: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Entry {
    last_used: time::Duration,
    tokens: u32,
}

/// Estimate of the prompt parts in the prefix cache of an endpoint, from the
/// requests that hosts have sent there and the size of its KV cache.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cache {
    entries: rustc_hash::FxHashMap<u64, Entry>,
    tokens: u64,
}

impl Cache {
    /// Records that the endpoint processes a part. The least recently used parts
    /// are evicted while there are more than [`PARTS_MAX`], or while all together
    /// exceed `room` tokens. The newest part is kept in any case.
    pub(crate) fn record(&mut self, now: time::Duration, part: work::Part, room: f64) {
        let entry = Entry {
            last_used: now,
            tokens: part.tokens,
        };
        if let Some(before) = self.entries.insert(part.id, entry) {
            self.tokens -= u64::from(before.tokens);
        }
        self.tokens += u64::from(part.tokens);
        while self.entries.len() > PARTS_MAX || self.tokens as f64 > room {
            if !self.evict() {
                break;
            }
        }
    }

    /// Returns the tokens of all cached parts.
    pub(crate) const fn tokens(&self) -> f64 {
        self.tokens as f64
    }

    /// Returns a cache that holds these parts, and `tokens` tokens with others. It has no
    /// times by which parts are evicted.
    pub(crate) fn holding(ids: impl IntoIterator<Item = u64>, tokens: u64) -> Self {
        let entry = Entry {
            last_used: time::Duration::ZERO,
            tokens: 0,
        };
        Self {
            entries: ids.into_iter().map(|id| (id, entry)).collect(),
            tokens,
        }
    }

    /// Returns which of the parts are cached, and the tokens of all cached parts.
    pub(crate) fn held(&self, parts: &[work::Part]) -> (Vec<u64>, u64) {
        let ids = parts.iter().map(|part| part.id);
        let held = ids.filter(|id| self.entries.contains_key(id));
        (held.collect(), self.tokens)
    }

    /// Returns the number of leading parts that are cached. An endpoint that has
    /// cached a part also has all parts before it.
    pub(crate) fn prefix_len(&self, parts: &[work::Part]) -> usize {
        parts
            .iter()
            .rposition(|part| self.entries.contains_key(&part.id))
            .map_or(0, |last| last + 1)
    }

    /// Evicts the least recently used part; returns `false` if only the newest
    /// one is left.
    fn evict(&mut self) -> bool {
        if self.entries.len() < 2 {
            return false;
        }
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| entry.last_used)
            .map(|(id, _)| *id);
        if let Some(entry) = oldest.and_then(|id| self.entries.remove(&id)) {
            self.tokens -= u64::from(entry.tokens);
        }
        true
    }
}
