use core::time;
use std::collections;
use std::net;

use rand::RngExt;
use rand::seq::{IteratorRandom, SliceRandom};

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

/// Periods for which the progress of a counter is passed on. Later it would
/// only delay the moment at which other hosts notice that it has stopped.
const FRESH_PERIODS: f64 = 1.5;

/// Digests that a host which is dead or not known receives per period from all
/// hosts together; a large fleet must not flood one that returns.
const CONTACTS: f64 = 4.0;

type Out = (net::SocketAddr, digest::Digest);

impl membership::Membership {
    /// Returns the digests to send now.
    pub(crate) fn gossip(&mut self, now: time::Duration) -> Vec<Out> {
        let targets = self.targets();
        let mut out: Vec<Out> = Vec::new();
        for target in &targets {
            let entries = self.choose(now, true);
            out.push((*target, self.digest(entries)));
        }
        for target in self.newcomers() {
            let entries = self.choose(now, false);
            out.push((target, self.digest(entries)));
        }
        for target in self.heartbeats(now) {
            if !targets.contains(&target) {
                out.push((target, self.digest(Vec::new())));
            }
        }
        // These are sent beside the digests above, of which some were lost.
        for target in std::mem::take(&mut self.doubters) {
            out.push((target, self.digest(Vec::new())));
        }
        for (target, entries) in self.alarms() {
            out.push((target, self.digest(entries)));
        }
        for (target, entry) in self.probes(now) {
            out.push((target, self.digest(vec![entry])));
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
        let mut near = Vec::new();
        let mut far = Vec::new();
        for member in self.members.values() {
            if member.dead.is_some() {
                continue;
            }
            let is_near = member.entry.region == self.own.region;
            let list = if is_near { &mut near } else { &mut far };
            list.push(member.entry.name.as_str());
        }
        let options = &self.options;
        let rng = &mut self.rng;
        let mut names = self.near_deck.deal(rng, &near, options.near_fanout);
        names.extend(self.far_deck.deal(rng, &far, options.far_fanout));
        let mut targets: Vec<net::SocketAddr> = names
            .iter()
            .filter_map(|name| self.members.get(name))
            .map(|member| member.entry.peer)
            .collect();
        targets.extend(self.contact());
        targets
    }

    /// Returns the addresses of hosts to greet.
    fn newcomers(&mut self) -> Vec<net::SocketAddr> {
        let names = self.greetings.take();
        names
            .iter()
            .filter_map(|name| self.find(name))
            .map(|entry| entry.peer)
            .collect()
    }

    /// Chooses an address whose host is dead or not known, so that a starting
    /// host and the two sides of a former partition find the others.
    fn contact(&mut self) -> Option<net::SocketAddr> {
        let known: collections::HashSet<net::SocketAddr> =
            self.present().map(|entry| entry.peer).collect();
        let dead = self
            .members
            .values()
            .filter(|member| member.dead.is_some())
            .map(|member| member.entry.peer);
        let seeds = self.options.seeds.iter().copied();
        let strange: collections::BTreeSet<net::SocketAddr> = seeds
            .chain(self.listed.contacts())
            .chain(dead)
            .filter(|address| !known.contains(address))
            .collect();
        let share = CONTACTS * strange.len() as f64 / known.len() as f64;
        if !self.rng.random_bool(share.min(1.0)) {
            return None;
        }
        strange.into_iter().choose(&mut self.rng)
    }

    /// Chooses the entries of a digest beside the own one.
    ///
    /// News may take three quarters of the places. The rest goes to the hosts
    /// whose counters advanced last, or to any that live.
    fn choose(&mut self, now: time::Duration, newest: bool) -> Vec<entry::Entry> {
        let places = self.options.entries_max.saturating_sub(1);
        let mut told: Vec<&member::Member> = self
            .members
            .values()
            .filter(|member| self.is_told(now, member))
            .collect();
        if told.len() > places {
            told.shuffle(&mut self.rng);
            let is_news = |member: &&member::Member| is_news(now, member);
            let (mut first, mut rest): (Vec<_>, Vec<_>) = told.into_iter().partition(is_news);
            let kept = first
                .len()
                .min((places * 3 / 4).max(places.saturating_sub(rest.len())));
            first.truncate(kept);
            if newest {
                rest.sort_by_key(|member| member.silence(now));
            }
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
        member.confirmed && member.silence(now) < self.options.period.mul_f64(FRESH_PERIODS)
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

    /// Returns the questions to hosts that are about to be suspected here, or
    /// are suspected: a host that reads that it is suspected sends the asking
    /// host a heartbeat.
    fn probes(&self, now: time::Duration) -> Vec<(net::SocketAddr, entry::Entry)> {
        self.members
            .values()
            .filter(|member| member.dead.is_none() && self.is_doubtful(now, member))
            .map(|member| {
                let mut entry = member.passed_on(true);
                entry.suspected = true;
                (entry.peer, entry)
            })
            .collect()
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

/// Returns whether other hosts may not know yet what this one knows.
fn is_news(now: time::Duration, member: &member::Member) -> bool {
    member.entry.suspected || now.saturating_sub(member.changed) < RECENT
}
