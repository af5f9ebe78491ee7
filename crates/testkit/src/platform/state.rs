use std::collections;
use std::sync;

use tokio::time;

use crate::platform::entry::Entry;

/// Period for which the budget of reads applies.
const PERIOD: core::time::Duration = core::time::Duration::from_secs(1);

/// File contents of a configuration revision by file name.
pub(crate) type Files = sync::Arc<collections::BTreeMap<String, String>>;

/// Counts of a platform since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Reads of the configuration, including watches.
    pub config: u64,
    /// Reads of the host list.
    pub hosts: u64,
    /// Reads refused because they exceeded the budget.
    pub refused: u64,
    /// Largest number of reads within one second, including the watches that were waiting.
    pub peak_reads: u32,
    /// Watches that are waiting now.
    pub waiting: u32,
}

/// Faults that apply to one reader.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct View {
    pub(crate) down: bool,
    /// Newest revision visible to the reader; `None` for all revisions.
    pub(crate) newest: Option<u64>,
    /// Whether the reader receives the newest visible revision even if it requests a later
    /// one.
    pub(crate) replaying: bool,
}

#[derive(Default)]
pub(crate) struct State {
    pub(crate) revisions: collections::BTreeMap<u64, Files>,
    /// Host lists, oldest first, with the time of the change; `None` for the first list.
    pub(crate) lists: Vec<(Option<time::Instant>, Vec<Entry>)>,
    pub(crate) views: collections::HashMap<String, View>,
    pub(crate) counters: Counters,
    /// Start of the current budget period.
    period_start: Option<time::Instant>,
    /// Reads in the current budget period.
    period_reads: u32,
}

impl State {
    /// Counts a read and returns whether it is within the budget.
    pub(crate) fn read(&mut self, now: time::Instant, budget: u32) -> bool {
        if self.period_start.is_none_or(|start| start + PERIOD <= now) {
            self.period_start = Some(now);
            self.period_reads = 0;
        }
        self.period_reads += 1;
        let current = self.period_reads + self.counters.waiting;
        self.counters.peak_reads = self.counters.peak_reads.max(current);
        let within = current <= budget;
        self.counters.refused += u64::from(!within);
        within
    }

    /// Returns the newest revision visible to the reader, with its files.
    pub(crate) fn newest(&self, reader: &str) -> Option<(u64, Files)> {
        let view = self.view(reader);
        let until = view.newest.unwrap_or(u64::MAX);
        let (revision, files) = self.revisions.range(..=until).next_back()?;
        Some((*revision, sync::Arc::clone(files)))
    }

    /// Returns the host list as it was `lag` ago, or the first list if that is newer.
    pub(crate) fn hosts(&self, now: time::Instant, lag: core::time::Duration) -> &[Entry] {
        let mut lists = self.lists.iter().rev();
        let found = lists.find(|(since, _)| since.is_none_or(|since| since + lag <= now));
        found.map_or(&[], |(_, list)| list)
    }

    pub(crate) fn view(&self, reader: &str) -> View {
        self.views.get(reader).copied().unwrap_or_default()
    }
}
