use std::collections;

use crate::record;

/// Ring buffer of the latest decisions to drop a job.
#[derive(Debug, Default)]
pub(crate) struct Log {
    records: collections::VecDeque<record::Record>,
    total: u64,
}

impl Log {
    pub(crate) fn push(&mut self, record: record::Record) {
        if self.records.len() >= RECORDS_MAX {
            self.records.pop_front();
        }
        self.records.push_back(record);
        self.total += 1;
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &record::Record> {
        self.records.iter()
    }

    pub(crate) const fn total(&self) -> u64 {
        self.total
    }
}

/// Number of records kept, of about 64 bytes each.
const RECORDS_MAX: usize = 4_096;
