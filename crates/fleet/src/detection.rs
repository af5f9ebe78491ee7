//! Failure detection: suspicions by heartbeat age, deaths by two observers.

use core::time;

use crate::entry;
use crate::member;
use crate::membership;
use crate::monitor;

/// Age above which a vote no longer counts. It does not exceed the time after
/// which a host is suspected, so that a vote that waited in the socket during a
/// pause of this process expires before the first suspicion.
const VOTE_AGE: time::Duration = time::Duration::from_secs(3);

/// Gossip periods before a suspicion at which a host is probed: late enough that
/// one heartbeat is missing, early enough for an answer.
const PROBE_PERIODS: f64 = 1.5;

/// Consecutive digests from a host itself after which this host may act as its
/// monitor.
const DIRECT_MIN: u32 = 3;

/// Mean intervals between two heartbeats by gossip after which a host is
/// suspected by gossip alone: exp(-16) is about one in ten million.
const GOSSIP_INTERVALS: u32 = 16;

/// The result of the failure detection for one host.
enum Verdict {
    Live,
    /// Suspected; the suspicion is gossiped to every host if `true`, otherwise
    /// only to the monitors.
    Suspect(bool),
    Dead,
}

impl membership::Membership {
    /// Updates the suspicions and declares hosts dead.
    pub(crate) fn detect_failures(&mut self, now: time::Duration) {
        let overdue: Vec<String> = self
            .members
            .iter()
            .filter(|(_, member)| member.dead_since.is_none())
            .filter(|(_, member)| member.heartbeat_age(now) >= self.options.suspect_after)
            .map(|(name, _)| name.clone())
            .collect();
        let advancing = self.count_advancing(now);
        let verdicts: Vec<Verdict> = overdue
            .iter()
            .filter_map(|name| self.members.get(name))
            .map(|member| self.verdict(now, member, advancing))
            .collect();
        for (name, verdict) in overdue.iter().zip(verdicts) {
            self.apply(now, name, verdict);
        }
    }

    /// Declares a host dead if a vote that just arrived confirms the suspicion.
    pub(crate) fn apply_vote(&mut self, now: time::Duration, name: &str) {
        let is_dead = self.members.get(name).is_some_and(|member| {
            member.dead_since.is_none()
                && member.heartbeat_age(now) >= self.options.suspect_after
                && self.has_second_vote(now, member)
        });
        if is_dead {
            self.apply(now, name, Verdict::Dead);
        }
    }

    fn apply(&mut self, now: time::Duration, name: &str, verdict: Verdict) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        match verdict {
            Verdict::Live => {}
            Verdict::Suspect(is_public) => member.suspect(now, true, is_public),
            Verdict::Dead => member.mark_dead(now),
        }
    }

    /// Returns the monitors of a host in this host's view.
    pub(crate) fn monitors_of(&self, host: &entry::Entry) -> Vec<&entry::Entry> {
        let known = self
            .members
            .values()
            .filter(|member| member.dead_since.is_none())
            .map(|member| &member.entry);
        monitor::monitors(host, known.chain([&self.own]))
    }

    /// Returns the verdict on a host whose counter has not advanced for the time
    /// after which hosts are suspected.
    ///
    /// Gossip carries the counter of a host at random intervals, in a large
    /// fleet often longer than that time. So the monitors of the host decide by
    /// its heartbeats, and report to each other first; once two of them agree,
    /// the death is gossiped and the other hosts follow. If the monitors are lost
    /// as well, any two hosts decide after a longer time. `advancing` is the number
    /// of other hosts whose counters advance here.
    fn verdict(&self, now: time::Duration, member: &member::Member, advancing: usize) -> Verdict {
        if self.has_second_vote(now, member)
            || member.heartbeat_age(now) >= self.unilateral_limit(advancing)
        {
            return Verdict::Dead;
        }
        if member.heartbeat_age(now) >= self.gossip_limit() {
            return Verdict::Suspect(true);
        }
        if self.is_monitor(member) {
            return Verdict::Suspect(false);
        }
        Verdict::Live
    }

    /// Returns whether the host is or will soon be suspected here, so that it is
    /// probed.
    pub(crate) fn is_probe_due(&self, now: time::Duration, member: &member::Member) -> bool {
        let margin = self.options.period.mul_f64(PROBE_PERIODS);
        let age = member.heartbeat_age(now).saturating_add(margin);
        age >= self.options.suspect_after && (age >= self.gossip_limit() || self.is_monitor(member))
    }

    /// Returns the heartbeat age after which this host declares another dead
    /// without a second observer.
    ///
    /// If no other counter advances, there is no second observer to wait for. But
    /// if several counters stop at once, this host may only have received nothing
    /// for a while, so it waits for twice the time. If others advance, they would
    /// have passed on a newer counter, so an age far above the limit of gossip is
    /// enough: they may have declared the host dead too long ago to gossip it.
    fn unilateral_limit(&self, advancing: usize) -> time::Duration {
        if advancing > 0 {
            return self.gossip_limit().saturating_mul(2);
        }
        if self.present().count() <= 2 {
            return self.options.suspect_after;
        }
        self.options.suspect_after.saturating_mul(2)
    }

    /// Counts the other hosts whose counters advance here.
    fn count_advancing(&self, now: time::Duration) -> usize {
        self.members
            .values()
            .filter(|member| member.dead_since.is_none())
            .filter(|member| member.heartbeat_age(now) < self.options.suspect_after)
            .count()
    }

    /// Returns whether another live host suspects this member too, with a counter
    /// at least as high as the one known here.
    fn has_second_vote(&self, now: time::Duration, member: &member::Member) -> bool {
        member
            .votes
            .iter()
            .filter(|vote| now.saturating_sub(vote.at) <= VOTE_AGE)
            .filter(|vote| vote.counter >= member.entry.counter)
            .any(|vote| self.is_eligible_voter(&vote.voter))
    }

    /// Returns whether a host is live here, so that its votes count.
    fn is_eligible_voter(&self, name: &str) -> bool {
        self.members
            .get(name)
            .is_some_and(|member| member.dead_since.is_none() && !member.entry.suspected)
    }

    /// Returns whether this host is a monitor that receives the heartbeats.
    fn is_monitor(&self, member: &member::Member) -> bool {
        member.consecutive_direct >= DIRECT_MIN
            && self
                .monitors_of(&member.entry)
                .iter()
                .any(|monitor| monitor.name == self.own.name)
    }

    /// Returns the heartbeat age after which gossip alone is enough for a suspicion.
    fn gossip_limit(&self) -> time::Duration {
        let targets = self.options.near_fanout + self.options.far_fanout;
        let per_period = (self.options.entries_max * targets).max(1);
        let interval = self
            .options
            .period
            .mul_f64(self.members.len() as f64 / per_period as f64);
        self.options
            .suspect_after
            .saturating_add(interval.saturating_mul(GOSSIP_INTERVALS))
    }
}
