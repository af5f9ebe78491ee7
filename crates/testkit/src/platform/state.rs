use std::collections;
use std::sync;

use tokio::time;

use crate::platform::entry::Entry;

/// Period over which reads are counted against the budget.
const PERIOD: core::time::Duration = core::time::Duration::from_secs(1);

/// One revision of the configuration: file texts by name.
pub(crate) type Files = sync::Arc<collections::BTreeMap<String, String>>;

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Reads of the configuration, with those that waited.
    pub config: u64,
    /// Reads of the host list.
    pub hosts: u64,
    /// Reads beyond the budget.
    pub refused: u64,
    /// Largest number of reads in a second, with the watches that waited.
    pub peak_reads: u32,
    /// Watches that wait now.
    pub waiting: u32,
}

/// What one reader gets to see.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct View {
    pub(crate) down: bool,
    /// Newest revision that the reader sees.
    pub(crate) newest: Option<u64>,
    /// Whether the reader gets it even if it asks for a later one.
    pub(crate) replaying: bool,
}

#[derive(Default)]
pub(crate) struct State {
    pub(crate) revisions: collections::BTreeMap<u64, Files>,
    pub(crate) lists: Vec<(Option<time::Instant>, Vec<Entry>)>,
    pub(crate) views: collections::HashMap<String, View>,
    pub(crate) counters: Counters,
    period: Option<time::Instant>,
    reads: u32,
}

impl State {
    /// Counts a read and returns whether it is within the budget.
    pub(crate) fn read(&mut self, now: time::Instant, budget: u32) -> bool {
        if self.period.is_none_or(|start| start + PERIOD <= now) {
            self.period = Some(now);
            self.reads = 0;
        }
        self.reads += 1;
        let busy = self.reads + self.counters.waiting;
        self.counters.peak_reads = self.counters.peak_reads.max(busy);
        let within = busy <= budget;
        self.counters.refused += u64::from(!within);
        within
    }

    /// Returns the newest revision that the reader sees.
    pub(crate) fn newest(&self, reader: &str) -> Option<(u64, Files)> {
        let view = self.view(reader);
        let until = view.newest.unwrap_or(u64::MAX);
        let (revision, files) = self.revisions.range(..=until).next_back()?;
        Some((*revision, sync::Arc::clone(files)))
    }

    /// Returns the host list as it was `lag` ago.
    pub(crate) fn hosts(&self, now: time::Instant, lag: core::time::Duration) -> &[Entry] {
        let mut lists = self.lists.iter().rev();
        let found = lists.find(|(since, _)| since.is_none_or(|since| since + lag <= now));
        found.map_or(&[], |(_, list)| list)
    }

    pub(crate) fn view(&self, reader: &str) -> View {
        self.views.get(reader).copied().unwrap_or_default()
    }
}
