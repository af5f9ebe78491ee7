use core::time;
use std::collections;
use std::net;

use rand::SeedableRng;

use crate::comparison;
use crate::deck;
use crate::digest;
use crate::entry;
use crate::greetings;
use crate::listed;
use crate::listing;
use crate::member;
use crate::options;
use crate::pause;
use crate::state;
use crate::tombs;

/// Hosts that are sent an extra heartbeat in one tick.
const DOUBTERS_MAX: usize = 16;

/// What this host knows of the fleet.
///
/// The host calls [`Membership::tick`] every second and sends the digests that
/// it returns, and passes every digest that arrives to
/// [`Membership::receive`]. The argument `now` is the monotonic time since the
/// start of the process and never goes back.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(crate) own: entry::Entry,
    pub(crate) options: options::Options,
    pub(crate) members: collections::BTreeMap<String, member::Member>,
    pub(crate) listed: listing::Listing,
    pub(crate) monitors: collections::BTreeMap<net::SocketAddr, time::Duration>,
    pub(crate) doubters: collections::BTreeSet<net::SocketAddr>,
    pub(crate) greetings: greetings::Greetings,
    pub(crate) near_deck: deck::Deck,
    pub(crate) far_deck: deck::Deck,
    pub(crate) rng: rand_pcg::Pcg64Mcg,
    pub(crate) revision: u64,
    pub(crate) content: [u8; 32],
    tombs: tombs::Tombs,
    pause: pause::Pause,
    superseded: bool,
}

impl Membership {
    /// Returns the membership of a host that knows only itself.
    pub fn new(own: entry::Entry, options: options::Options, seed: u64) -> Self {
        Self {
            own,
            pause: pause::Pause::new(options.period),
            options,
            members: collections::BTreeMap::new(),
            listed: listing::Listing::default(),
            monitors: collections::BTreeMap::new(),
            doubters: collections::BTreeSet::new(),
            greetings: greetings::Greetings::default(),
            near_deck: deck::Deck::default(),
            far_deck: deck::Deck::default(),
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            revision: 0,
            content: [0; 32],
            tombs: tombs::Tombs::default(),
            superseded: false,
        }
    }

    /// Advances the own counter, judges the other hosts and returns the
    /// digests to send, each with the peer address of its receiver.
    pub fn tick(&mut self, now: time::Duration) -> Vec<(net::SocketAddr, digest::Digest)> {
        self.notice_pause(now);
        self.pause.ran(now);
        self.own.counter += 1;
        self.judge(now);
        self.forget(now);
        self.gossip(now)
    }

    /// Takes a digest from another host.
    ///
    /// A digest without entries, of this host itself or of an older lifetime
    /// of its sender is ignored.
    pub fn receive(
        &mut self,
        now: time::Duration,
        digest: &digest::Digest,
    ) -> comparison::Comparison {
        self.notice_pause(now);
        let Some(sender) = digest.entries.first() else {
            return comparison::Comparison::default();
        };
        if sender.name == self.own.name {
            self.meet_namesake(sender);
            return comparison::Comparison::default();
        }
        if self.is_outdated(sender) {
            return comparison::Comparison::default();
        }
        let before = self.counter_of(&sender.name);
        for entry in &digest.entries {
            self.learn(now, sender, entry);
        }
        // Several digests of one tick, and repeated ones, count once.
        if self.counter_of(&sender.name) > before
            && let Some(member) = self.members.get_mut(&sender.name)
        {
            member.note_direct(now);
        }
        self.compare(sender, digest)
    }

    /// Takes the platform's list of hosts, which lags behind reality.
    ///
    /// The list adds hosts to contact and marks hosts as leaving. A host that
    /// is absent from it stays.
    pub fn apply_platform_list(&mut self, now: time::Duration, hosts: &[listed::Listed]) {
        self.listed.replace(hosts, self.options.hosts_max);
        for member in self.members.values_mut() {
            mark(now, &mut self.listed, member);
        }
    }

    /// Sets the configuration in force, which digests carry.
    pub fn set_version(&mut self, revision: u64, content: [u8; 32]) {
        self.revision = revision;
        self.content = content;
    }

    /// Replaces the addresses of hosts to contact first.
    pub fn set_seeds(&mut self, seeds: Vec<net::SocketAddr>) {
        self.options.seeds = seeds;
    }

    /// Marks this host as leaving; there is no way back.
    pub fn set_leaving(&mut self) {
        self.own.phase = entry::Phase::Leaving;
    }

    /// Sets the own address for callers, known only after the listener is bound.
    pub fn set_caller(&mut self, address: net::SocketAddr) {
        self.own.caller = address;
    }

    /// Notes a host's own word that this lifetime of it is leaving.
    pub fn mark_leaving(&mut self, name: &str, incarnation: u64) {
        if let Some(member) = self.members.get_mut(name)
            && member.entry.incarnation == incarnation
        {
            member.entry.phase = entry::Phase::Leaving;
        }
    }

    /// Returns the own entry.
    pub fn own(&self) -> &entry::Entry {
        &self.own
    }

    /// Returns whether a newer lifetime with the own name has been seen.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Lists the hosts that are up and not dead, own included, by name.
    pub fn live(&self) -> Vec<&entry::Entry> {
        let mut live: Vec<&entry::Entry> = self
            .present()
            .filter(|entry| entry.phase == entry::Phase::Up)
            .collect();
        live.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        live
    }

    /// Returns the host of this name unless it is dead or not known.
    pub fn find(&self, name: &str) -> Option<&entry::Entry> {
        if name == self.own.name {
            return Some(&self.own);
        }
        let member = self.members.get(name)?;
        member.dead.is_none().then_some(&member.entry)
    }

    /// Returns what this host holds of the host of this name; a host that is
    /// not known is dead.
    pub fn state(&self, name: &str) -> state::State {
        if name == self.own.name {
            return phase_state(self.own.phase);
        }
        self.members
            .get(name)
            .map_or(state::State::Dead, member_state)
    }

    /// Returns whether this lifetime of a host is dead, or a newer one known.
    pub fn has_ended(&self, name: &str, incarnation: u64) -> bool {
        if name == self.own.name {
            return incarnation < self.own.incarnation;
        }
        let Some(member) = self.members.get(name) else {
            return self.tombs.ended(name, incarnation);
        };
        let known = member.entry.incarnation;
        incarnation < known || incarnation == known && member.dead.is_some()
    }

    /// Lists all hosts with their states, dead ones and the own one included.
    pub fn entries(&self) -> impl Iterator<Item = (&entry::Entry, state::State)> {
        let others = self
            .members
            .values()
            .map(|member| (&member.entry, member_state(member)));
        [(&self.own, phase_state(self.own.phase))]
            .into_iter()
            .chain(others)
    }

    /// Lists the hosts that are not dead, own included.
    pub(crate) fn present(&self) -> impl Iterator<Item = &entry::Entry> {
        self.members
            .values()
            .filter(|member| member.dead.is_none())
            .map(|member| &member.entry)
            .chain([&self.own])
    }

    fn notice_pause(&mut self, now: time::Duration) {
        if !self.pause.ends(now) {
            return;
        }
        for member in self.members.values_mut() {
            member.restart(now);
        }
    }

    fn meet_namesake(&mut self, entry: &entry::Entry) {
        if entry.incarnation > self.own.incarnation {
            self.superseded = true;
        }
    }

    fn is_outdated(&self, entry: &entry::Entry) -> bool {
        self.members.get(&entry.name).map_or_else(
            || {
                self.tombs
                    .covers(&entry.name, entry.incarnation, entry.counter)
            },
            |member| entry.incarnation < member.entry.incarnation,
        )
    }

    /// Returns the last life sign of another host.
    fn counter_of(&self, name: &str) -> Option<(u64, u64)> {
        let entry = &self.members.get(name)?.entry;
        Some((entry.incarnation, entry.counter))
    }

    /// Takes one entry of a digest.
    fn learn(&mut self, now: time::Duration, sender: &entry::Entry, entry: &entry::Entry) {
        if entry.name == self.own.name {
            self.meet_namesake(entry);
            if entry.suspected && self.doubters.len() < DOUBTERS_MAX {
                self.doubters.insert(sender.peer);
            }
            return;
        }
        if let Some(member) = self.members.get_mut(&entry.name) {
            let is_back = member.update(now, entry);
            if entry.suspected && entry.name != sender.name {
                member.note_vote(now, &sender.name, entry);
            }
            mark(now, &mut self.listed, member);
            if entry.suspected {
                self.judge_vote(now, &entry.name);
            }
            if is_back {
                self.greet(&entry.name);
            }
            return;
        }
        let is_stale = entry.suspected
            || self
                .tombs
                .covers(&entry.name, entry.incarnation, entry.counter);
        if is_stale || self.members.len() >= self.options.hosts_max {
            return;
        }
        self.tombs.remove(&entry.name);
        let mut member = member::Member::new(now, entry);
        mark(now, &mut self.listed, &mut member);
        self.members.insert(entry.name.clone(), member);
        self.greet(&entry.name);
    }

    fn greet(&mut self, name: &str) {
        let known = self.members.len();
        self.greetings.note(&mut self.rng, name, known);
    }

    fn compare(&self, sender: &entry::Entry, digest: &digest::Digest) -> comparison::Comparison {
        let notice = || comparison::Source {
            peer: sender.peer,
            name: sender.name.clone(),
            revision: digest.revision,
        };
        let is_newer = digest.revision > self.revision;
        let is_conflict = digest.revision != 0
            && digest.revision == self.revision
            && digest.content != self.content;
        comparison::Comparison {
            newer: is_newer.then(notice),
            conflict: is_conflict.then(notice),
        }
    }

    /// Replaces hosts that have been dead for long by tombstones.
    fn forget(&mut self, now: time::Duration) {
        let age = self.options.evict_after;
        let is_old = |member: &member::Member| {
            member
                .dead
                .is_some_and(|dead| now.saturating_sub(dead) >= age)
        };
        let old: Vec<String> = self
            .members
            .iter()
            .filter(|(_, member)| is_old(member))
            .map(|(name, _)| name.clone())
            .collect();
        for name in old {
            if let Some(member) = self.members.remove(&name) {
                let entry = member.entry;
                self.tombs.bury(now, name, entry.incarnation, entry.counter);
            }
        }
        self.tombs.expire(now, self.options.tombstone_ttl);
    }
}

/// Applies the platform's mark to a host.
fn mark(now: time::Duration, listed: &mut listing::Listing, member: &mut member::Member) {
    let is_leaving = listed.is_leaving(&member.entry.name, member.entry.incarnation);
    let phase = if is_leaving {
        entry::Phase::Leaving
    } else {
        member.stated
    };
    if member.entry.phase != phase {
        member.entry.phase = phase;
        member.changed = now;
    }
}

fn member_state(member: &member::Member) -> state::State {
    if member.dead.is_some() {
        return state::State::Dead;
    }
    if member.entry.suspected {
        return state::State::Suspect;
    }
    phase_state(member.entry.phase)
}

fn phase_state(phase: entry::Phase) -> state::State {
    match phase {
        entry::Phase::Up => state::State::Live,
        entry::Phase::Leaving => state::State::Leaving,
    }
}
