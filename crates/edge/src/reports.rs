use core::time;
use std::collections;

use crate::gossip;

/// Delays before the second and third publication of a report, in case datagrams
/// are lost or a host is unreachable for a moment.
const RESEND_DELAYS: [time::Duration; 2] = [
    time::Duration::from_millis(400),
    time::Duration::from_millis(1_600),
];

/// Most reports in a datagram.
const DATAGRAM_REPORTS_MAX: usize = 50;

/// Most reports that wait for publication.
const REPORTS_MAX: usize = 1_024;

/// A report that waits for its next publication.
#[derive(Debug)]
struct Waiting {
    crash: gossip::Crash,
    /// Number of publications so far.
    sent: usize,
    due: time::Duration,
}

/// Crash reports of this host that are still to be published. Reports of other
/// hosts never displace them: hosts publish only what they have detected.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    waiting: collections::VecDeque<Waiting>,
}

impl Reports {
    /// Adds a report; returns `false` if an older one was dropped for it.
    pub(crate) fn add(&mut self, now: time::Duration, crash: gossip::Crash) -> bool {
        let is_full = self.waiting.len() >= REPORTS_MAX;
        if is_full {
            self.waiting.pop_front();
        }
        self.waiting.push_back(Waiting {
            crash,
            sent: 0,
            due: now,
        });
        !is_full
    }

    /// Returns the reports that are due, as many as fit into a datagram, and
    /// schedules their next publication.
    pub(crate) fn take_due(&mut self, now: time::Duration) -> Vec<gossip::Crash> {
        let mut due = Vec::new();
        for waiting in &mut self.waiting {
            if waiting.due > now || due.len() >= DATAGRAM_REPORTS_MAX {
                continue;
            }
            due.push(waiting.crash);
            let delay = RESEND_DELAYS.get(waiting.sent).copied();
            waiting.sent += 1;
            waiting.due = now + delay.unwrap_or_default();
        }
        self.waiting
            .retain(|waiting| waiting.sent <= RESEND_DELAYS.len());
        due
    }

    /// Returns whether no report waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
