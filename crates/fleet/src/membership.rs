use core::time;
use std::collections;
use std::net;

use rand::SeedableRng;

use crate::comparison;
use crate::digest;
use crate::entry;
use crate::joins;
use crate::listed;
use crate::listing;
use crate::member;
use crate::options;
use crate::pause;
use crate::rotation;
use crate::state;
use crate::tombstones;

/// Hosts that receive a refutation of their suspicion in one tick.
const REFUTATIONS_MAX: usize = 16;

/// The members of the fleet as this host knows them.
///
/// The host must call [`Membership::tick`] every second, send the digests that it
/// returns, and pass every digest that arrives to [`Membership::receive`]. The
/// argument `now` is the monotonic time since the start of the process and never
/// decreases.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(crate) own: entry::Entry,
    pub(crate) options: options::Options,
    pub(crate) members: collections::BTreeMap<String, member::Member>,
    pub(crate) listing: listing::Listing,
    /// Peer addresses of the monitors of this host, with the time at which each
    /// was last chosen.
    pub(crate) monitors: collections::BTreeMap<net::SocketAddr, time::Duration>,
    /// Peer addresses of hosts that suspect this one.
    pub(crate) refutations: collections::BTreeSet<net::SocketAddr>,
    pub(crate) joins: joins::Queue,
    pub(crate) near_rotation: rotation::Rotation,
    pub(crate) far_rotation: rotation::Rotation,
    pub(crate) rng: rand_pcg::Pcg64Mcg,
    pub(crate) revision: u64,
    pub(crate) content: [u8; 32],
    tombstones: tombstones::Tombstones,
    pause: pause::Detector,
    /// Newest lifetime with the name of this host, if it is above the own one.
    superseded_by: Option<u64>,
}

impl Membership {
    /// Returns the membership of a host that knows only itself.
    ///
    /// `seed` seeds the random choice of receivers and entries.
    pub fn new(own: entry::Entry, options: options::Options, seed: u64) -> Self {
        Self {
            own,
            pause: pause::Detector::new(options.period),
            options,
            members: collections::BTreeMap::new(),
            listing: listing::Listing::default(),
            monitors: collections::BTreeMap::new(),
            refutations: collections::BTreeSet::new(),
            joins: joins::Queue::default(),
            near_rotation: rotation::Rotation::default(),
            far_rotation: rotation::Rotation::default(),
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            revision: 0,
            content: [0; 32],
            tombstones: tombstones::Tombstones::default(),
            superseded_by: None,
        }
    }

    /// Advances the own counter, runs the failure detection and returns the
    /// digests to send, each with the peer address of its receiver.
    pub fn tick(&mut self, now: time::Duration) -> Vec<(net::SocketAddr, digest::Digest)> {
        self.handle_pause(now);
        self.pause.record_run(now);
        self.own.counter += 1;
        self.detect_failures(now);
        self.evict(now);
        self.gossip(now)
    }

    /// Applies a digest from another host and compares its configuration with the
    /// one in force here.
    ///
    /// A digest without entries, of this host itself or of an older lifetime of
    /// its sender is ignored.
    pub fn receive(
        &mut self,
        now: time::Duration,
        digest: &digest::Digest,
    ) -> comparison::Comparison {
        self.handle_pause(now);
        let Some(sender) = digest.entries.first() else {
            return comparison::Comparison::default();
        };
        if sender.name == self.own.name {
            self.check_own_lifetime(sender);
            return comparison::Comparison::default();
        }
        if self.is_outdated(sender) {
            return comparison::Comparison::default();
        }
        let before = self.progress_of(&sender.name);
        for entry in &digest.entries {
            self.apply_entry(now, sender, entry);
        }
        // Several digests of one tick, and duplicates, count once.
        if self.progress_of(&sender.name) > before
            && let Some(member) = self.members.get_mut(&sender.name)
        {
            member.record_direct(now);
        }
        self.compare(sender, digest)
    }

    /// Applies the platform's list of hosts, which may be outdated.
    ///
    /// The list adds hosts to contact and marks hosts as leaving. A host that is
    /// absent from it stays.
    pub fn apply_platform_list(&mut self, now: time::Duration, hosts: &[listed::Listed]) {
        self.listing.replace(hosts, self.options.hosts_max);
        for member in self.members.values_mut() {
            apply_listing(now, &mut self.listing, member);
        }
    }

    /// Sets the revision in force and the SHA-256 of its content, which digests
    /// carry.
    pub fn set_version(&mut self, revision: u64, content: [u8; 32]) {
        self.revision = revision;
        self.content = content;
    }

    /// Replaces [`Options::seeds`](crate::Options::seeds).
    pub fn set_seeds(&mut self, seeds: Vec<net::SocketAddr>) {
        self.options.seeds = seeds;
    }

    /// Marks this host as leaving, for the rest of its lifetime.
    pub fn set_leaving(&mut self) {
        self.own.phase = entry::Phase::Leaving;
    }

    /// Sets the own address for callers, known only after the listener is bound.
    pub fn set_caller(&mut self, address: net::SocketAddr) {
        self.own.caller = address;
    }

    /// Marks a lifetime of another host as leaving, as that host has reported
    /// outside of the digests.
    ///
    /// It has no effect unless this lifetime is the known one.
    pub fn mark_leaving(&mut self, now: time::Duration, name: &str, incarnation: u64) {
        if let Some(member) = self.members.get_mut(name)
            && member.entry.incarnation == incarnation
        {
            member.mark_leaving(now);
        }
    }

    /// Returns the entry of this host.
    pub fn own(&self) -> &entry::Entry {
        &self.own
    }

    /// Returns whether a newer lifetime with the name of this host has been seen.
    pub fn is_superseded(&self) -> bool {
        self.superseded_by.is_some()
    }

    /// Returns the hosts that are up and not dead, this one included, sorted by
    /// name.
    pub fn live(&self) -> Vec<&entry::Entry> {
        let mut live: Vec<&entry::Entry> = self
            .present()
            .filter(|entry| entry.phase == entry::Phase::Up)
            .collect();
        live.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        live
    }

    /// Returns the entry of a host unless it is dead or not known.
    pub fn find(&self, name: &str) -> Option<&entry::Entry> {
        if name == self.own.name {
            return Some(&self.own);
        }
        let member = self.members.get(name)?;
        member.dead_since.is_none().then_some(&member.entry)
    }

    /// Returns the state of a host as seen here; a host that is not known is dead.
    pub fn state(&self, name: &str) -> state::State {
        if name == self.own.name {
            return phase_state(self.own.phase);
        }
        self.members
            .get(name)
            .map_or(state::State::Dead, member_state)
    }

    /// Returns whether a lifetime of a host is dead or replaced by a newer one.
    pub fn has_ended(&self, name: &str, incarnation: u64) -> bool {
        if name == self.own.name {
            return incarnation < self.own.incarnation;
        }
        let Some(member) = self.members.get(name) else {
            return self.tombstones.has_ended(name, incarnation);
        };
        let known = member.entry.incarnation;
        incarnation < known || incarnation == known && member.dead_since.is_some()
    }

    /// Returns all hosts with their states, dead ones and this one included.
    pub fn entries(&self) -> impl Iterator<Item = (&entry::Entry, state::State)> {
        let others = self
            .members
            .values()
            .map(|member| (&member.entry, member_state(member)));
        [(&self.own, phase_state(self.own.phase))]
            .into_iter()
            .chain(others)
    }

    /// Returns the hosts that are not dead, this one included.
    pub(crate) fn present(&self) -> impl Iterator<Item = &entry::Entry> {
        self.members
            .values()
            .filter(|member| member.dead_since.is_none())
            .map(|member| &member.entry)
            .chain([&self.own])
    }

    /// Restarts the failure detection if a pause of this process ends now.
    fn handle_pause(&mut self, now: time::Duration) {
        if !self.pause.detect(now) {
            return;
        }
        for member in self.members.values_mut() {
            member.reset(now);
        }
    }

    /// Detects a newer lifetime with the name of this host.
    fn check_own_lifetime(&mut self, entry: &entry::Entry) {
        if entry.incarnation > self.own.incarnation {
            self.superseded_by = self.superseded_by.max(Some(entry.incarnation));
        }
    }

    /// Moves the own lifetime after all that other hosts know; returns whether it was not.
    ///
    /// A host calls it if no other process can have its name, for example because it holds
    /// the address. Its clock was then set back between two starts, and other hosts ignore
    /// it as long as its lifetime is below that of the process before.
    pub fn move_after_known_lifetimes(&mut self) -> bool {
        let Some(known) = self.superseded_by.take() else {
            return false;
        };
        self.own.incarnation = known.saturating_add(1);
        true
    }

    /// Returns whether an entry is older than what is known or was evicted.
    fn is_outdated(&self, entry: &entry::Entry) -> bool {
        self.members.get(&entry.name).map_or_else(
            || {
                self.tombstones
                    .covers(&entry.name, entry.incarnation, entry.counter)
            },
            |member| entry.incarnation < member.entry.incarnation,
        )
    }

    /// Returns the incarnation and the counter of another host.
    fn progress_of(&self, name: &str) -> Option<(u64, u64)> {
        let entry = &self.members.get(name)?.entry;
        Some((entry.incarnation, entry.counter))
    }

    /// Applies one entry of a digest.
    fn apply_entry(&mut self, now: time::Duration, sender: &entry::Entry, entry: &entry::Entry) {
        if entry.name == self.own.name {
            self.check_own_lifetime(entry);
            if entry.suspected && self.refutations.len() < REFUTATIONS_MAX {
                self.refutations.insert(sender.peer);
            }
            return;
        }
        if let Some(member) = self.members.get_mut(&entry.name) {
            let has_returned = member.update(now, entry);
            if entry.suspected && entry.name != sender.name {
                member.record_vote(now, &sender.name, entry);
            }
            apply_listing(now, &mut self.listing, member);
            if entry.suspected {
                self.apply_vote(now, &entry.name);
            }
            if has_returned {
                self.queue_join(&entry.name);
            }
            return;
        }
        let is_stale = entry.suspected
            || self
                .tombstones
                .covers(&entry.name, entry.incarnation, entry.counter);
        if is_stale || self.members.len() >= self.options.hosts_max {
            return;
        }
        self.tombstones.remove(&entry.name);
        let mut member = member::Member::new(now, entry);
        apply_listing(now, &mut self.listing, &mut member);
        self.members.insert(entry.name.clone(), member);
        self.queue_join(&entry.name);
    }

    /// Queues a digest for a host that has joined or returned.
    fn queue_join(&mut self, name: &str) {
        let known = self.members.len();
        self.joins.push(&mut self.rng, name, known);
    }

    /// Compares the configuration of a digest with the one in force here.
    fn compare(&self, sender: &entry::Entry, digest: &digest::Digest) -> comparison::Comparison {
        let source = || comparison::Source {
            peer: sender.peer,
            name: sender.name.clone(),
            revision: digest.revision,
        };
        let is_newer = digest.revision > self.revision;
        let is_conflict = digest.revision != 0
            && digest.revision == self.revision
            && digest.content != self.content;
        comparison::Comparison {
            newer: is_newer.then(source),
            conflict: is_conflict.then(source),
        }
    }

    /// Replaces hosts that have been dead for long with tombstones.
    fn evict(&mut self, now: time::Duration) {
        let age = self.options.evict_after;
        let is_old = |member: &member::Member| {
            member
                .dead_since
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
                self.tombstones
                    .insert(now, name, entry.incarnation, entry.counter);
            }
        }
        self.tombstones.expire(now, self.options.tombstone_ttl);
    }
}

/// Sets the phase of a host from its own announcement and the platform's list.
fn apply_listing(now: time::Duration, listing: &mut listing::Listing, member: &mut member::Member) {
    let is_leaving = listing.is_leaving(&member.entry.name, member.entry.incarnation);
    let phase = if is_leaving {
        entry::Phase::Leaving
    } else {
        member.announced_phase
    };
    if member.entry.phase != phase {
        member.entry.phase = phase;
        member.changed_at = now;
    }
}

fn member_state(member: &member::Member) -> state::State {
    if member.dead_since.is_some() {
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
