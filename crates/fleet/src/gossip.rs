use core::time;
use std::collections;
use std::net;

use rand::RngExt;
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};

use crate::digest;
use crate::entry;
use crate::member;
use crate::membership;

/// For how long a change is preferred when entries are chosen.
const RECENT: time::Duration = time::Duration::from_secs(10);

/// For how long the death of a host is passed on.
const OBITUARY: time::Duration = time::Duration::from_secs(30);

/// For how long a monitor that is no longer chosen receives heartbeats. Views
/// differ for some seconds, and a monitor must not take their end for a death.
const LINGER: time::Duration = time::Duration::from_secs(15);

/// One in so many ticks contacts a dead host.
const DEAD_CONTACT: u32 = 4;

type Out = (net::SocketAddr, digest::Digest);

impl membership::Membership {
    /// Returns the digests to send now.
    pub(crate) fn gossip(&mut self, now: time::Duration) -> Vec<Out> {
        let targets = self.targets();
        let mut out: Vec<Out> = Vec::new();
        for target in &targets {
            let entries = self.choose(now);
            out.push((*target, self.digest(entries)));
        }
        if self.is_small() {
            return out;
        }
        let heartbeats = self.heartbeats(now);
        for target in heartbeats {
            if !targets.contains(&target) {
                out.push((target, self.digest(Vec::new())));
            }
        }
        for (target, entries) in self.alarms() {
            out.push((target, self.digest(entries)));
        }
        out
    }

    fn digest(&self, mut others: Vec<entry::Entry>) -> digest::Digest {
        others.insert(0, self.own.clone());
        digest::Digest {
            entries: others,
            revision: self.revision,
            content: self.content,
        }
    }

    /// Chooses the receivers of this tick's gossip.
    fn targets(&mut self) -> Vec<net::SocketAddr> {
        let known = || {
            self.members
                .values()
                .filter(|member| member.dead.is_none())
                .map(|member| &member.entry)
        };
        let near = known().filter(|entry| entry.region == self.own.region);
        let far = known().filter(|entry| entry.region != self.own.region);
        let mut targets = near
            .map(|entry| entry.peer)
            .sample(&mut self.rng, self.options.near_targets);
        targets.extend(
            far.map(|entry| entry.peer)
                .sample(&mut self.rng, self.options.far_targets),
        );
        targets.extend(self.contact());
        targets
    }

    /// Chooses an address whose host is not known, or now and then a dead host.
    fn contact(&mut self) -> Option<net::SocketAddr> {
        let known: collections::HashSet<net::SocketAddr> = self
            .members
            .values()
            .filter(|member| member.dead.is_none())
            .map(|member| member.entry.peer)
            .chain([self.own.peer])
            .collect();
        let listed = self.listed.contacts();
        let unknown: Vec<net::SocketAddr> = self
            .options
            .seeds
            .iter()
            .copied()
            .chain(listed)
            .filter(|address| !known.contains(address))
            .collect();
        let dead = self
            .members
            .values()
            .filter(|member| member.dead.is_some())
            .map(|member| member.entry.peer)
            .choose(&mut self.rng);
        if dead.is_some() && self.rng.random_ratio(1, DEAD_CONTACT) {
            return dead;
        }
        unknown.choose(&mut self.rng).copied()
    }

    /// Chooses the entries of a digest beside the own one.
    ///
    /// Recent changes may take half of the places. The rest goes to hosts
    /// whose counters advance; a stale counter tells nobody anything.
    fn choose(&mut self, now: time::Duration) -> Vec<entry::Entry> {
        let places = self.options.entries_max.saturating_sub(1);
        let mut told: Vec<&member::Member> = self
            .members
            .values()
            .filter(|member| self.is_told(now, member))
            .collect();
        if told.len() > places {
            told.shuffle(&mut self.rng);
            let recent = |member: &&member::Member| now.saturating_sub(member.changed) < RECENT;
            let (mut first, rest): (Vec<_>, Vec<_>) = told.into_iter().partition(recent);
            let kept = first
                .len()
                .min(places.div_ceil(2).max(places.saturating_sub(rest.len())));
            first.truncate(kept);
            first.extend(rest);
            first.truncate(places);
            told = first;
        }
        told.into_iter()
            .map(|member| member.passed_on(false))
            .collect()
    }

    fn is_told(&self, now: time::Duration, member: &member::Member) -> bool {
        if let Some(dead) = member.dead {
            return now.saturating_sub(dead) < OBITUARY;
        }
        if member.entry.suspected {
            return member.is_loud;
        }
        member.confirmed && member.silence(now) < self.options.suspect_after
    }

    /// Returns the addresses of the own monitors.
    fn heartbeats(&mut self, now: time::Duration) -> Vec<net::SocketAddr> {
        let chosen: Vec<net::SocketAddr> = self
            .monitors_of(&self.own)
            .into_iter()
            .map(|entry| entry.peer)
            .collect();
        for address in chosen {
            self.monitors.insert(address, now);
        }
        self.monitors
            .retain(|_, at| now.saturating_sub(*at) < LINGER);
        self.monitors.keys().copied().collect()
    }

    /// Returns what the other monitors of quietly suspected hosts are told.
    fn alarms(&self) -> collections::BTreeMap<net::SocketAddr, Vec<entry::Entry>> {
        let mut alarms: collections::BTreeMap<_, Vec<entry::Entry>> = collections::BTreeMap::new();
        let quiet = self
            .members
            .values()
            .filter(|member| member.entry.suspected && !member.is_loud)
            .take(self.options.entries_max.saturating_sub(1));
        for member in quiet {
            for monitor in self.monitors_of(&member.entry) {
                if monitor.name != self.own.name {
                    alarms
                        .entry(monitor.peer)
                        .or_default()
                        .push(member.passed_on(true));
                }
            }
        }
        alarms
    }
}
