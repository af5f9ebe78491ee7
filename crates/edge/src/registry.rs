use core::time;
use std::collections;

/// A published endpoint, or what stands in its place.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// A readable entry.
    Endpoint(plan::Endpoint),
    /// An entry that names no endpoint to use, and why.
    Invalid(String),
}

/// The list of endpoints, as the platform publishes it.
///
/// An entry that vanishes while the platform was out of reach, or shortly
/// after, may only have lapsed; it stays until the platform has had the time to
/// restore it. A removal that is seen in calm times counts at once.
#[derive(Debug)]
pub struct Registry {
    removal_grace: time::Duration,
    endpoints: collections::BTreeMap<String, plan::Endpoint>,
    /// Revision of the newest change of each entry, removed ones included.
    /// Pages of a list are no snapshot, so that older changes can follow.
    revisions: collections::BTreeMap<String, u64>,
    /// Endpoints that vanished, with the time of their removal.
    held_removals: collections::BTreeMap<String, time::Duration>,
    /// End of the time in which removals are held back.
    hold_until: time::Duration,
    /// When the platform was lost; absent while it answers.
    unreachable_since: Option<time::Duration>,
    /// Whether another host was in touch with the platform meanwhile.
    has_peer_contact: bool,
    revision: u64,
}

impl Registry {
    /// Returns an empty list. `removal_grace` is how long lapsed entries stay.
    pub const fn new(removal_grace: time::Duration) -> Self {
        Self {
            removal_grace,
            endpoints: collections::BTreeMap::new(),
            revisions: collections::BTreeMap::new(),
            held_removals: collections::BTreeMap::new(),
            hold_until: time::Duration::ZERO,
            unreachable_since: None,
            has_peer_contact: false,
            revision: 0,
        }
    }

    /// Notes that the platform is out of reach.
    pub const fn mark_unreachable(&mut self, now: time::Duration) {
        if self.unreachable_since.is_none() {
            self.has_peer_contact = false;
            self.unreachable_since = Some(now);
        }
    }

    /// Notes that another host was in touch with the platform at this time. If
    /// that was after this host lost it, only the own path is broken, and no
    /// entry lapses.
    pub fn note_peer_contact(&mut self, at: time::Duration) {
        self.has_peer_contact |= self.unreachable_since.is_some_and(|since| at > since);
    }

    /// Notes that the platform has answered.
    pub fn mark_reachable(&mut self, now: time::Duration) {
        if self.unreachable_since.take().is_some() && !self.has_peer_contact {
            self.hold_until = now + self.removal_grace;
        }
    }

    /// Takes one entry.
    pub fn put(&mut self, now: time::Duration, id: &str, entry: Entry, revision: u64) {
        if !self.is_newer(id, revision) {
            return;
        }
        match entry {
            Entry::Endpoint(endpoint) => {
                self.held_removals.remove(id);
                self.endpoints.insert(id.to_owned(), endpoint);
            }
            Entry::Invalid(_) => self.remove_or_hold(now, id, false),
        }
    }

    /// Takes the removal of an entry.
    pub fn remove(&mut self, now: time::Duration, id: &str, revision: u64) {
        if self.is_newer(id, revision) {
            self.remove_or_hold(now, id, true);
        }
    }

    /// Takes the whole list, each entry with the revision of its last change.
    pub fn replace(&mut self, now: time::Duration, list: Vec<(String, Entry, u64)>, revision: u64) {
        let listed: collections::BTreeSet<String> =
            list.iter().map(|(id, _, _)| id.clone()).collect();
        self.revisions.retain(|id, _| listed.contains(id));
        let missing: Vec<String> = self
            .endpoints
            .keys()
            .filter(|id| !listed.contains(*id) && !self.held_removals.contains_key(*id))
            .cloned()
            .collect();
        for id in missing {
            self.remove_or_hold(now, &id, true);
        }
        for (id, entry, changed) in list {
            self.put(now, &id, entry, changed);
        }
        self.revision = self.revision.max(revision);
    }

    /// Takes the list of another host, which was in touch with the platform
    /// while this one was not.
    pub fn replace_from_peer(&mut self, list: Vec<plan::Endpoint>, revision: u64) {
        self.held_removals.clear();
        self.revisions.clear();
        self.endpoints = list
            .into_iter()
            .map(|endpoint| (endpoint.id.clone(), endpoint))
            .collect();
        self.revision = revision;
    }

    /// Drops the lapsed entries whose time is over; returns whether there were
    /// any.
    pub fn expire(&mut self, now: time::Duration) -> bool {
        if self.is_unreachable() || now < self.hold_until {
            return false;
        }
        let over = core::mem::take(&mut self.held_removals);
        for id in over.keys() {
            self.endpoints.remove(id);
        }
        !over.is_empty()
    }

    /// Returns the endpoints.
    pub fn endpoints(&self) -> Vec<plan::Endpoint> {
        self.endpoints.values().cloned().collect()
    }

    /// Returns the platform's revision of the newest change.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether the platform is out of reach.
    pub const fn is_unreachable(&self) -> bool {
        self.unreachable_since.is_some()
    }

    /// Notes a change of an entry; returns whether it is the newest one.
    fn is_newer(&mut self, id: &str, revision: u64) -> bool {
        self.revision = self.revision.max(revision);
        let known = self.revisions.entry(id.to_owned()).or_insert(0);
        let is_newer = revision >= *known;
        *known = revision.max(*known);
        is_newer
    }

    fn remove_or_hold(&mut self, now: time::Duration, id: &str, may_hold: bool) {
        let is_holding = self.is_unreachable() || now < self.hold_until;
        let was_up = self
            .endpoints
            .get(id)
            .is_some_and(|endpoint| endpoint.phase == plan::Phase::Up);
        if may_hold && is_holding && was_up {
            self.held_removals.entry(id.to_owned()).or_insert(now);
            return;
        }
        self.held_removals.remove(id);
        self.endpoints.remove(id);
    }
}
