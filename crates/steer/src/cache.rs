use core::time;

use crate::work;

/// Shared parts that are remembered for one endpoint (about 40 bytes each).
const PARTS_MAX: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Entry {
    used: time::Duration,
    tokens: u32,
}

/// The prompt parts that an endpoint has probably cached, as far as hosts have
/// sent them there and its memory holds them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cache {
    entries: rustc_hash::FxHashMap<u64, Entry>,
    tokens: u64,
}

impl Cache {
    /// Notes that the endpoint reads a part. The least recently used parts
    /// yield once all take more than `room` tokens.
    pub(crate) fn note(&mut self, now: time::Duration, part: work::Part, room: f64) {
        let entry = Entry {
            used: now,
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

    /// Returns the leading parts that are cached. An endpoint that holds a part
    /// also holds all before it.
    pub(crate) fn leading(&self, parts: &[work::Part]) -> usize {
        parts
            .iter()
            .rposition(|part| self.entries.contains_key(&part.id))
            .map_or(0, |last| last + 1)
    }

    /// Drops the least recently used part; returns whether there was one
    /// beside the newest.
    fn evict(&mut self) -> bool {
        if self.entries.len() < 2 {
            return false;
        }
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| entry.used)
            .map(|(id, _)| *id);
        if let Some(entry) = oldest.and_then(|id| self.entries.remove(&id)) {
            self.tokens -= u64::from(entry.tokens);
        }
        true
    }
}
