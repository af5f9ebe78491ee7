use core::time;
use std::collections;

/// When the items of a queue are published.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Schedule {
    /// Delays before the publications of an item, each from the one before; the first
    /// from the time at which the item is added.
    pub(crate) delays: &'static [time::Duration],
    /// Most items that are taken at once.
    pub(crate) batch_max: usize,
    /// Most items that wait for publication.
    pub(crate) waiting_max: usize,
}

/// An item that waits for its next publication.
#[derive(Debug)]
struct Waiting<T> {
    item: T,
    /// Number of publications so far.
    sent: usize,
    due: time::Duration,
}

/// Items that are published several times, in case datagrams are lost or a host is
/// unreachable for a moment.
#[derive(Debug)]
pub(crate) struct Queue<T> {
    schedule: Schedule,
    waiting: collections::VecDeque<Waiting<T>>,
}

impl<T: Clone> Queue<T> {
    /// Creates an empty queue.
    pub(crate) const fn new(schedule: Schedule) -> Self {
        Self {
            schedule,
            waiting: collections::VecDeque::new(),
        }
    }

    /// Adds an item; returns `false` if an older one was dropped for it.
    pub(crate) fn add(&mut self, now: time::Duration, item: T) -> bool {
        let is_full = self.waiting.len() >= self.schedule.waiting_max;
        if is_full {
            self.waiting.pop_front();
        }
        let delay = self.schedule.delays.first().copied();
        self.waiting.push_back(Waiting {
            item,
            sent: 0,
            due: now + delay.unwrap_or_default(),
        });
        !is_full
    }

    /// Returns the items that are due, as many as are taken at once, and schedules
    /// their next publication.
    pub(crate) fn take_due(&mut self, now: time::Duration) -> Vec<T> {
        let Schedule {
            delays, batch_max, ..
        } = self.schedule;
        let mut due = Vec::new();
        for waiting in &mut self.waiting {
            if waiting.due > now || due.len() >= batch_max {
                continue;
            }
            due.push(waiting.item.clone());
            waiting.sent += 1;
            let delay = delays.get(waiting.sent).copied();
            waiting.due = now + delay.unwrap_or_default();
        }
        self.waiting.retain(|waiting| waiting.sent < delays.len());
        due
    }

    /// Returns whether no item waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
