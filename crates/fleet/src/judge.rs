use core::time;

use crate::entry;
use crate::member;
use crate::membership;
use crate::monitor;

/// Age at which a vote no longer counts. It is not above the time after which
/// a host is suspected, so that a vote that waited in the socket during a pause
/// of this process has expired before the first suspicion.
const VOTE_AGE: time::Duration = time::Duration::from_secs(3);

/// Periods before a suspicion at which a host is asked for a heartbeat: late
/// enough that one heartbeat is missing, early enough for an answer.
const PROBE_PERIODS: f64 = 1.5;

/// Heartbeats in a row after which a host counts as sending them here.
const STREAK: u32 = 3;

/// Mean intervals between two life signs by gossip after which a host is
/// suspected without its heartbeats: exp(-16) is about one in ten million.
const GOSSIP_INTERVALS: u32 = 16;

/// Judgement of one host.
enum Verdict {
    Trust,
    /// Suspect; `true` tells every host.
    Suspect(bool),
    Bury,
}

impl membership::Membership {
    /// Updates suspicions and deaths.
    pub(crate) fn judge(&mut self, now: time::Duration) {
        let silent: Vec<String> = self
            .members
            .iter()
            .filter(|(_, member)| member.dead.is_none())
            .filter(|(_, member)| member.silence(now) >= self.options.suspect_after)
            .map(|(name, _)| name.clone())
            .collect();
        let fresh = self.fresh(now);
        let verdicts: Vec<Verdict> = silent
            .iter()
            .filter_map(|name| self.members.get(name))
            .map(|member| self.verdict(now, member, fresh))
            .collect();
        for (name, verdict) in silent.iter().zip(verdicts) {
            self.apply(now, name, verdict);
        }
    }

    /// Declares a host dead if a vote that just arrived is the second one.
    pub(crate) fn judge_vote(&mut self, now: time::Duration, name: &str) {
        let is_dead = self.members.get(name).is_some_and(|member| {
            member.dead.is_none()
                && member.silence(now) >= self.options.suspect_after
                && self.is_confirmed(now, member)
        });
        if is_dead {
            self.apply(now, name, Verdict::Bury);
        }
    }

    fn apply(&mut self, now: time::Duration, name: &str, verdict: Verdict) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        match verdict {
            Verdict::Trust => {}
            Verdict::Suspect(is_loud) => member.suspect(now, true, is_loud),
            Verdict::Bury => member.bury(now),
        }
    }

    /// Lists the monitors of a host in this host's view.
    pub(crate) fn monitors_of(&self, host: &entry::Entry) -> Vec<&entry::Entry> {
        let known = self
            .members
            .values()
            .filter(|member| member.dead.is_none())
            .map(|member| &member.entry);
        monitor::monitors(host, known.chain([&self.own]))
    }

    /// Judges a host that is silent here.
    ///
    /// Gossip brings news of a host only now and then, and in a large fleet
    /// often later than the time after which a host is suspected. So the
    /// monitors of the host judge by its heartbeats, and tell each other
    /// first; once two of them agree, the others follow. Where the monitors
    /// are lost as well, any two hosts judge after a longer silence.
    fn verdict(&self, now: time::Duration, member: &member::Member, fresh: usize) -> Verdict {
        if self.is_confirmed(now, member) || member.silence(now) >= self.alone_limit(fresh) {
            return Verdict::Bury;
        }
        if member.silence(now) >= self.gossip_limit() {
            return Verdict::Suspect(true);
        }
        if self.is_monitor(member) {
            return Verdict::Suspect(false);
        }
        Verdict::Trust
    }

    /// Returns whether the host is or will soon be suspected here.
    pub(crate) fn is_doubtful(&self, now: time::Duration, member: &member::Member) -> bool {
        let margin = self.options.period.mul_f64(PROBE_PERIODS);
        let silence = member.silence(now).saturating_add(margin);
        silence >= self.options.suspect_after
            && (silence >= self.gossip_limit() || self.is_monitor(member))
    }

    /// Returns the silence after which this host needs no second observer.
    ///
    /// A host that hears of no other has nobody to wait for; but where several
    /// are silent at once, it may only have received nothing for a while. A
    /// host that hears of others would have received a newer counter from
    /// them, so a silence far beyond that of gossip is enough: the others may
    /// have seen the death too long ago to pass it on.
    fn alone_limit(&self, fresh: usize) -> time::Duration {
        if fresh > 0 {
            return self.gossip_limit().saturating_mul(2);
        }
        if self.present().count() <= 2 {
            return self.options.suspect_after;
        }
        self.options.suspect_after.saturating_mul(2)
    }

    /// Counts the other hosts whose counters advance here.
    fn fresh(&self, now: time::Duration) -> usize {
        self.members
            .values()
            .filter(|member| member.dead.is_none())
            .filter(|member| member.silence(now) < self.options.suspect_after)
            .count()
    }

    /// Returns whether another host that is alive suspects this one, with a
    /// life sign at least as new as the one known here.
    fn is_confirmed(&self, now: time::Duration, member: &member::Member) -> bool {
        member
            .votes
            .iter()
            .filter(|vote| now.saturating_sub(vote.at) <= VOTE_AGE)
            .filter(|vote| vote.counter >= member.entry.counter)
            .any(|vote| self.is_trusted(&vote.voter))
    }

    fn is_trusted(&self, name: &str) -> bool {
        self.members
            .get(name)
            .is_some_and(|member| member.dead.is_none() && !member.entry.suspected)
    }

    fn is_monitor(&self, member: &member::Member) -> bool {
        member.streak >= STREAK
            && self
                .monitors_of(&member.entry)
                .iter()
                .any(|monitor| monitor.name == self.own.name)
    }

    /// Returns the silence after which gossip alone is enough for a suspicion.
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
