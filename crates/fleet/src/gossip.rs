//! Choice of the digests of one tick: their receivers and their entries.

use core::time;
use std::collections;
use std::net;

use rand::RngExt;
use rand::seq::{IteratorRandom, SliceRandom};

use crate::digest;
use crate::entry;
use crate::member;
use crate::membership;

/// How long a change is preferred when the entries of a digest are chosen.
const CHANGE_AGE_MAX: time::Duration = time::Duration::from_secs(10);

/// How long the death of a host is gossiped.
const DEATH_GOSSIP_TIME: time::Duration = time::Duration::from_secs(30);

/// How long a host that is no longer a monitor still receives heartbeats. Views
/// differ for some seconds, and a host that considers itself a monitor must not
/// mistake the end of the heartbeats for a failure.
const MONITOR_LINGER: time::Duration = time::Duration::from_secs(15);

/// Gossip periods for which the progress of a counter is gossiped. Older
/// progress would only delay the detection of a counter that has stopped.
const PROGRESS_PERIODS: f64 = 1.5;

/// Digests per period that an address whose host is dead or not known receives
/// from all hosts together; a large fleet must not flood a host that returns.
const CONTACTS_PER_PERIOD: f64 = 4.0;

/// A digest with the peer address of its receiver.
type Outgoing = (net::SocketAddr, digest::Digest);

impl membership::Membership {
    /// Returns the digests to send now.
    pub(crate) fn gossip(&mut self, now: time::Duration) -> Vec<Outgoing> {
        let targets = self.gossip_targets();
        let mut out: Vec<Outgoing> = Vec::new();
        for target in &targets {
            let entries = self.choose_entries(now, true);
            out.push((*target, self.digest(entries)));
        }
        for target in self.join_targets() {
            let entries = self.choose_entries(now, false);
            out.push((target, self.digest(entries)));
        }
        for target in self.heartbeat_targets(now) {
            if !targets.contains(&target) {
                out.push((target, self.digest(Vec::new())));
            }
        }
        // Refutations are sent in addition to the digests above, because the
        // suspicion means that some of those were lost.
        for target in std::mem::take(&mut self.refutations) {
            out.push((target, self.digest(Vec::new())));
        }
        for (target, entries) in self.suspicion_reports() {
            out.push((target, self.digest(entries)));
        }
        for (target, entry) in self.probes(now) {
            out.push((target, self.digest(vec![entry])));
        }
        out
    }

    /// Returns a digest of the own entry and the others.
    fn digest(&self, mut others: Vec<entry::Entry>) -> digest::Digest {
        others.insert(0, self.own.clone());
        digest::Digest {
            entries: others,
            revision: self.revision,
            content: self.content,
        }
    }

    /// Chooses the receivers of the full digests of this tick.
    fn gossip_targets(&mut self) -> Vec<net::SocketAddr> {
        let mut near = Vec::new();
        let mut far = Vec::new();
        for member in self.members.values() {
            if member.dead_since.is_some() {
                continue;
            }
            let is_near = member.entry.region == self.own.region;
            let list = if is_near { &mut near } else { &mut far };
            list.push(member.entry.name.as_str());
        }
        let options = &self.options;
        let rng = &mut self.rng;
        let mut names = self.near_rotation.draw(rng, &near, options.near_fanout);
        names.extend(self.far_rotation.draw(rng, &far, options.far_fanout));
        let mut targets: Vec<net::SocketAddr> = names
            .iter()
            .filter_map(|name| self.members.get(name))
            .map(|member| member.entry.peer)
            .collect();
        targets.extend(self.choose_absent());
        targets
    }

    /// Returns the addresses of hosts that joined and are sent a digest now.
    fn join_targets(&mut self) -> Vec<net::SocketAddr> {
        let names = self.joins.drain();
        names
            .iter()
            .filter_map(|name| self.find(name))
            .map(|entry| entry.peer)
            .collect()
    }

    /// Chooses an address whose host is dead or not known, so that a starting
    /// host and the sides of a healed partition discover each other.
    fn choose_absent(&mut self) -> Option<net::SocketAddr> {
        let known: collections::HashSet<net::SocketAddr> =
            self.present().map(|entry| entry.peer).collect();
        let dead = self
            .members
            .values()
            .filter(|member| member.dead_since.is_some())
            .map(|member| member.entry.peer);
        let seeds = self.options.seeds.iter().copied();
        let absent: collections::BTreeSet<net::SocketAddr> = seeds
            .chain(self.listing.contacts())
            .chain(dead)
            .filter(|address| !known.contains(address))
            .collect();
        let share = CONTACTS_PER_PERIOD * absent.len() as f64 / known.len() as f64;
        if !self.rng.random_bool(share.min(1.0)) {
            return None;
        }
        absent.into_iter().choose(&mut self.rng)
    }

    /// Chooses the entries of a digest other than the own one.
    ///
    /// Recent changes take at most three quarters of the places unless there is
    /// too little else. The rest goes to the hosts whose counters advanced last
    /// if `newest` is set, otherwise to random ones.
    fn choose_entries(&mut self, now: time::Duration, newest: bool) -> Vec<entry::Entry> {
        let places = self.options.entries_max.saturating_sub(1);
        let mut candidates: Vec<&member::Member> = self
            .members
            .values()
            .filter(|member| self.is_shareable(now, member))
            .collect();
        if candidates.len() > places {
            candidates.shuffle(&mut self.rng);
            let is_recent_change = |member: &&member::Member| is_recent_change(now, member);
            let (mut recent, mut rest): (Vec<_>, Vec<_>) =
                candidates.into_iter().partition(is_recent_change);
            let recent_max = recent
                .len()
                .min((places * 3 / 4).max(places.saturating_sub(rest.len())));
            recent.truncate(recent_max);
            if newest {
                rest.sort_by_key(|member| member.heartbeat_age(now));
            }
            recent.extend(rest);
            recent.truncate(places);
            candidates = recent;
        }
        candidates
            .into_iter()
            .map(|member| member.to_gossip(false))
            .collect()
    }

    /// Returns whether the entry of a host may be gossiped to every host.
    fn is_shareable(&self, now: time::Duration, member: &member::Member) -> bool {
        if let Some(dead) = member.dead_since {
            return now.saturating_sub(dead) < DEATH_GOSSIP_TIME;
        }
        if member.entry.suspected {
            return member.is_public;
        }
        member.is_confirmed
            && member.heartbeat_age(now) < self.options.period.mul_f64(PROGRESS_PERIODS)
    }

    /// Returns the addresses that receive a heartbeat: the monitors of this host.
    fn heartbeat_targets(&mut self, now: time::Duration) -> Vec<net::SocketAddr> {
        let chosen: Vec<net::SocketAddr> = self
            .monitors_of(&self.own)
            .into_iter()
            .map(|entry| entry.peer)
            .collect();
        for address in chosen {
            self.monitors.insert(address, now);
        }
        self.monitors
            .retain(|_, at| now.saturating_sub(*at) < MONITOR_LINGER);
        self.monitors.keys().copied().collect()
    }

    /// Returns the probes of hosts that are or will soon be suspected here.
    ///
    /// A probe is an entry that marks its receiver as suspected. The receiver
    /// answers with a heartbeat.
    fn probes(&self, now: time::Duration) -> Vec<(net::SocketAddr, entry::Entry)> {
        self.members
            .values()
            .filter(|member| member.dead_since.is_none() && self.is_probe_due(now, member))
            .map(|member| {
                let mut entry = member.to_gossip(true);
                entry.suspected = true;
                (entry.peer, entry)
            })
            .collect()
    }

    /// Returns the suspicions that are not public yet, for the other monitors of
    /// each suspected host.
    fn suspicion_reports(&self) -> collections::BTreeMap<net::SocketAddr, Vec<entry::Entry>> {
        let mut reports: collections::BTreeMap<_, Vec<entry::Entry>> = collections::BTreeMap::new();
        let unpublished = self
            .members
            .values()
            .filter(|member| member.entry.suspected && !member.is_public)
            .take(self.options.entries_max.saturating_sub(1));
        for member in unpublished {
            for monitor in self.monitors_of(&member.entry) {
                if monitor.name != self.own.name {
                    reports
                        .entry(monitor.peer)
                        .or_default()
                        .push(member.to_gossip(true));
                }
            }
        }
        reports
    }
}

/// Returns whether other hosts may not have received the state of the host yet.
fn is_recent_change(now: time::Duration, member: &member::Member) -> bool {
    member.entry.suspected || now.saturating_sub(member.changed_at) < CHANGE_AGE_MAX
}
