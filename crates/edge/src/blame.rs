use core::time;
use std::net;

use base::mutex;
use rand::seq::IteratorRandom;

use crate::gossip;
use crate::host;

/// Time since the first event of an answer up to which its parts may have caused a
/// crash of the endpoint.
const BEGIN_TIME: time::Duration = time::Duration::from_secs(1);

/// Most suspicious parts of a prompt against which a crash counts, the last ones; the first
/// ones are the most widely shared. It bounds what hosts send each other of one crash.
const PARTS_MAX: usize = 1_024;

impl host::Host {
    /// Records a crash under a request of this host. `answering` is for how long its
    /// answer had been arriving, if it had begun.
    pub(crate) fn blame_parts(
        &self,
        now: time::Duration,
        mut crash: route::parts::Crash,
        answering: Option<time::Duration>,
    ) {
        if answering.is_some_and(|time| time > BEGIN_TIME) {
            return;
        }
        crash.parts = mutex::lock(&self.parts).suspicious(now, &crash.parts);
        if crash.parts.is_empty() {
            return;
        }
        let excess = crash.parts.len().saturating_sub(PARTS_MAX);
        if excess > 0 {
            self.metrics.add("crash_parts_dropped", &[], excess as u64);
            crash.parts.drain(..excess);
        }
        self.record_run(now, 0, &crash, "own");
        if !mutex::lock(&self.reports).runs.add(now, crash) {
            self.metrics.count("crash_reports_dropped", &[]);
        }
    }

    /// Records a complete answer on the shared parts of a prompt.
    pub(crate) fn record_complete_parts(&self, work: &steer::Work) {
        let now = self.clock.now();
        let shared = work.shared().iter().map(|part| part.id);
        let cleared = mutex::lock(&self.parts).complete(now, shared);
        if cleared.is_empty() {
            return;
        }
        self.log_verdicts("own");
        let mut reports = mutex::lock(&self.reports);
        for part in cleared {
            self.metrics.count("part_completions", &[("source", "own")]);
            reports.completions.add(now, (part, now));
        }
        drop(reports);
        self.crashed.notify_one();
    }

    /// Records what another host says of prompt parts, and tells it of complete
    /// answers that it does not know.
    pub(crate) fn apply_blame(
        &self,
        now: time::Duration,
        from: net::SocketAddr,
        message: &gossip::Message,
    ) {
        for completion in &message.blame.completions {
            let at = now.saturating_sub(time::Duration::from_millis(completion.age_ms.into()));
            self.metrics
                .count("part_completions", &[("source", "peer")]);
            mutex::lock(&self.parts).clear(at, completion.part);
        }
        for crash in &message.blame.crashes {
            self.record_run(now, 0, crash, "peer");
        }
        for rest in &message.rests {
            self.record_run(now, rest.offset.into(), &rest.crash, "peer");
        }
        if !message.blame.completions.is_empty() {
            self.log_verdicts("peer");
        }
        // Periodic messages hold convictions of the sender.
        if message.work == gossip::Work::None {
            return;
        }
        let convicted = message.blame.crashes.iter().flat_map(|crash| &crash.parts);
        let parts = mutex::lock(&self.parts);
        let mut completions: Vec<_> = convicted
            .filter(|&&part| parts.find_poison([part]).is_none())
            .filter_map(|&part| Some((part, parts.completed(part)?)))
            .map(|(part, at)| gossip::Completion::new(now, part, at))
            .collect();
        drop(parts);
        completions.dedup_by_key(|completion| completion.part);
        if !completions.is_empty() {
            self.send_completions(completions, from);
        }
    }

    /// Returns the evidence against one of the poison parts, for hosts that have
    /// missed reports or started since.
    pub(crate) fn sample_blame(&self) -> gossip::Blame {
        let parts = mutex::lock(&self.parts);
        let part = parts.poison().choose(&mut *mutex::lock(&self.rng));
        gossip::Blame {
            crashes: part.map_or_else(Vec::new, |part| parts.evidence(part)),
            completions: Vec::new(),
        }
    }

    /// Returns the part of a prompt on which requests are refused.
    pub(crate) fn poison_part(&self, work: &steer::Work) -> Option<u64> {
        let shared = work.shared().iter().map(|part| part.id);
        mutex::lock(&self.parts).find_poison(shared)
    }

    /// Removes crashes and complete answers that no longer count.
    pub(crate) fn evict_parts(&self, now: time::Duration) {
        mutex::lock(&self.parts).evict_expired(now);
        self.log_verdicts("time");
    }

    fn record_run(
        &self,
        now: time::Duration,
        offset: usize,
        crash: &route::parts::Crash,
        source: &str,
    ) {
        let is_new = mutex::lock(&self.parts).record_from(now, offset, crash);
        let effect = if is_new { "counted" } else { "ignored" };
        let tags = [("source", source), ("effect", effect)];
        self.metrics.count("part_crash_reports", &tags);
        self.log_verdicts(source);
    }

    /// Logs the parts on which requests are refused or accepted from now on.
    fn log_verdicts(&self, source: &str) {
        let changes = mutex::lock(&self.parts).take_changes();
        for change in changes {
            let part = format!("{:x}", change.part);
            let part = part.as_str();
            match change.is_poison {
                true => log::warn!(
                    target: "edge", part = part, source = source;
                    "requests with a prompt part are refused because endpoints crashed on it"
                ),
                false => log::warn!(
                    target: "edge", part = part, source = source;
                    "requests with a prompt part are accepted again"
                ),
            }
        }
    }
}
