use std::collections;
use std::sync;

use crate::record::entry;
use base::mutex;

/// Maximum number of ended requests per shard; the oldest are evicted.
const ENDED_MAX: usize = 64;
/// Maximum number of open requests listed per shard. Further ones are counted and
/// listed when they end.
const OPEN_MAX: usize = 1_024;

pub(super) type Cell = sync::Arc<sync::Mutex<entry::Entry>>;

/// The recent requests whose ids hash to one shard.
#[derive(Default)]
pub(super) struct Shard {
    open: collections::HashMap<String, Cell>,
    ended: collections::VecDeque<entry::Entry>,
}

impl Shard {
    pub(super) fn open(&mut self, id: String, cell: Cell) {
        if self.open.len() < OPEN_MAX {
            self.open.insert(id, cell);
        }
    }

    pub(super) fn close(&mut self, entry: entry::Entry) {
        self.open.remove(&entry.id);
        if self.ended.len() >= ENDED_MAX {
            self.ended.pop_front();
        }
        self.ended.push_back(entry);
    }

    pub(super) fn count_open(&self) -> usize {
        self.open.len()
    }

    pub(super) fn find(&self, id: &str) -> Option<entry::Entry> {
        if let Some(cell) = self.open.get(id) {
            return Some(mutex::lock(cell).clone());
        }
        self.ended.iter().find(|entry| entry.id == id).cloned()
    }

    pub(super) fn list(&self, out: &mut Vec<entry::Entry>) {
        let open = self.open.values();
        out.extend(open.map(|cell| mutex::lock(cell).clone()));
        out.extend(self.ended.iter().cloned());
    }
}
