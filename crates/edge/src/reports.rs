use core::time;

use crate::gossip;
use crate::resend;

/// When crash reports are published: at once and twice again. Reports of other
/// hosts never displace those of this host: hosts publish only what they have
/// detected.
const CRASHES: resend::Schedule = resend::Schedule {
    delays: &[
        time::Duration::ZERO,
        time::Duration::from_millis(400),
        time::Duration::from_millis(1_600),
    ],
    // As many as fit into a datagram.
    batch_max: 50,
    waiting_max: 1_024,
};

/// When crashes under prompt parts, which are larger, are published.
const RUNS: resend::Schedule = resend::Schedule {
    batch_max: 10,
    ..CRASHES
};

/// When complete answers on prompt parts, limits of endpoints and brittle services are
/// published.
const COMPLETIONS: resend::Schedule = resend::Schedule {
    batch_max: 20,
    ..CRASHES
};

/// What this host has seen and publishes to all hosts.
#[derive(Debug)]
pub(crate) struct Reports {
    pub(crate) crashes: resend::Queue<gossip::Crash>,
    /// Crashes under prompt parts.
    pub(crate) runs: resend::Queue<route::parts::Crash>,
    /// Prompt parts, and when an answer on them was complete.
    pub(crate) completions: resend::Queue<(u64, time::Duration)>,
    /// Tags of endpoints whose limits have changed.
    pub(crate) limits: resend::Queue<u32>,
    /// Hashes of services that became brittle, or ceased to be.
    pub(crate) brittle: resend::Queue<u32>,
    /// Tags of endpoints that became cold, ceased to be or cannot be reached.
    pub(crate) colds: resend::Queue<u32>,
}

/// Reports that are published now.
#[derive(Debug)]
pub(crate) struct Due {
    pub(crate) crashes: Vec<gossip::Crash>,
    pub(crate) blame: gossip::Blame,
    /// Tags of endpoints.
    pub(crate) limits: Vec<u32>,
    /// Hashes of services.
    pub(crate) brittle: Vec<u32>,
    /// Tags of endpoints.
    pub(crate) colds: Vec<u32>,
}

impl Default for Reports {
    fn default() -> Self {
        Self {
            crashes: resend::Queue::new(CRASHES),
            runs: resend::Queue::new(RUNS),
            completions: resend::Queue::new(COMPLETIONS),
            limits: resend::Queue::new(COMPLETIONS),
            brittle: resend::Queue::new(COMPLETIONS),
            colds: resend::Queue::new(COMPLETIONS),
        }
    }
}

impl Reports {
    /// Returns the reports that are due, and schedules their next publication.
    pub(crate) fn take_due(&mut self, now: time::Duration) -> Due {
        let completions = self.completions.take_due(now);
        Due {
            crashes: self.crashes.take_due(now),
            blame: gossip::Blame {
                crashes: self.runs.take_due(now),
                completions: completions
                    .into_iter()
                    .map(|(part, at)| gossip::Completion::new(now, part, at))
                    .collect(),
            },
            limits: self.limits.take_due(now),
            brittle: self.brittle.take_due(now),
            colds: self.colds.take_due(now),
        }
    }

    /// Returns whether no report waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.crashes.is_empty()
            && self.runs.is_empty()
            && self.completions.is_empty()
            && self.limits.is_empty()
            && self.brittle.is_empty()
            && self.colds.is_empty()
    }
}
