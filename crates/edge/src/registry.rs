use core::time;
use std::collections;

/// Content of an entry that the platform publishes for an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// An entry that describes an endpoint.
    Endpoint(plan::Endpoint),
    /// An entry from which no endpoint can be used, with the reason.
    Invalid(String),
}

/// List of endpoints that the platform publishes.
///
/// An entry that vanishes during an outage of the platform, or shortly after,
/// may only have expired. Its endpoint, unless it was leaving, is kept until
/// the platform has had time to restore the entry. All other removals take
/// effect immediately.
///
/// The same holds in a new era, when the platform has lost its newest changes, whichever
/// way the first list of the era comes here. A process that was leaving before stays so in
/// every list of the era; only a change of its entry that this host reads itself ends that.
#[derive(Debug)]
pub struct Registry {
    removal_grace: time::Duration,
    endpoints: collections::BTreeMap<String, plan::Endpoint>,
    /// Version of the newest change of each entry, including removed ones.
    /// The pages of a list are not one snapshot, so changes may arrive out of
    /// order.
    versions: collections::BTreeMap<String, plan::Version>,
    /// Endpoints whose removal is held back, with the time of the removal.
    held_removals: collections::BTreeMap<String, time::Duration>,
    /// When endpoints are removed whose removal another host holds back. This host may not
    /// read the platform, and the version of the list does not change when they are.
    peer_removals: collections::BTreeMap<String, time::Duration>,
    /// Until when removals are held back after an outage.
    hold_until: time::Duration,
    /// Starts of the processes, by id, that were leaving when the current era began.
    leavers: collections::BTreeMap<String, u64>,
    /// What the entries say of how long endpoints stay cold, with the version of the entry.
    colds: collections::BTreeMap<String, (plan::Version, steer::cold::Stated)>,
    /// Start of the current outage; absent while the platform answers.
    unreachable_since: Option<time::Duration>,
    /// Whether another host was in contact with the platform during the
    /// current or last outage.
    has_peer_contact: bool,
    version: plan::Version,
}

impl Registry {
    /// Creates an empty list. `removal_grace` is how long removals are held
    /// back after an outage of the platform.
    pub const fn new(removal_grace: time::Duration) -> Self {
        Self {
            removal_grace,
            endpoints: collections::BTreeMap::new(),
            versions: collections::BTreeMap::new(),
            held_removals: collections::BTreeMap::new(),
            peer_removals: collections::BTreeMap::new(),
            hold_until: time::Duration::ZERO,
            leavers: collections::BTreeMap::new(),
            colds: collections::BTreeMap::new(),
            unreachable_since: None,
            has_peer_contact: false,
            version: plan::Version::new(0, 0),
        }
    }

    /// Records that the platform is unreachable.
    pub const fn mark_unreachable(&mut self, now: time::Duration) {
        if self.unreachable_since.is_none() {
            self.has_peer_contact = false;
            self.unreachable_since = Some(now);
        }
    }

    /// Records that another host was in contact with the platform at this time.
    /// If that was after this host lost contact, only this host is cut off:
    /// entries do not expire, so removals are not held back afterwards.
    pub fn record_peer_contact(&mut self, at: time::Duration) {
        self.has_peer_contact |= self.unreachable_since.is_some_and(|since| at > since);
    }

    /// Records that the platform has answered.
    pub fn mark_reachable(&mut self, now: time::Duration) {
        if self.unreachable_since.take().is_some() && !self.has_peer_contact {
            self.hold_until = now + self.removal_grace;
        }
    }

    /// Adds or replaces one entry. A version below that of the last known
    /// change of the entry is ignored.
    pub fn put(
        &mut self,
        now: time::Duration,
        id: &str,
        entry: Entry,
        version: impl Into<plan::Version>,
    ) {
        let version = version.into();
        self.begin_era(now, version);
        if !self.is_newer(id, version) {
            return;
        }
        self.leavers.remove(id);
        self.apply(now, id, entry);
    }

    fn apply(&mut self, now: time::Duration, id: &str, entry: Entry) {
        match entry {
            Entry::Endpoint(endpoint) => {
                self.held_removals.remove(id);
                self.peer_removals.remove(id);
                self.endpoints.insert(id.to_owned(), endpoint);
            }
            Entry::Invalid(_) => self.remove_or_hold(now, id, false),
        }
    }

    /// Removes an entry, or holds the removal back during and after an outage.
    /// A version below that of the last known change is ignored.
    pub fn remove(&mut self, now: time::Duration, id: &str, version: impl Into<plan::Version>) {
        let version = version.into();
        self.begin_era(now, version);
        if self.is_newer(id, version) {
            self.remove_or_hold(now, id, true);
        }
    }

    /// Records for how long an entry says that its endpoint stays cold, as of the version
    /// of the entry; `None` if it does not say. The same version says nothing new.
    pub fn state_cold(
        &mut self,
        now: time::Duration,
        id: &str,
        left: Option<time::Duration>,
        version: impl Into<plan::Version>,
    ) {
        let version = version.into();
        let known = self.colds.get(id);
        if known.is_some_and(|(known, _)| version <= *known) {
            return;
        }
        let Some(left) = left else {
            self.colds.remove(id);
            return;
        };
        let until = now + left;
        let stated = steer::cold::Stated { at: now, until };
        self.colds.insert(id.to_owned(), (version, stated));
    }

    /// Takes what the entries say from another host, for its list of endpoints.
    pub(crate) fn set_colds(
        &mut self,
        now: time::Duration,
        list: &[plan::Endpoint],
        entries: &[Option<(u32, u32)>],
    ) {
        let ms = |ms: u32| time::Duration::from_millis(ms.into());
        let stated = list.iter().zip(entries).filter_map(|(endpoint, entry)| {
            let (left, age) = (*entry)?;
            let at = now.saturating_sub(ms(age));
            let until = match left {
                0 => at,
                left => now + ms(left),
            };
            let stated = steer::cold::Stated { at, until };
            Some((endpoint.id.clone(), (plan::Version::default(), stated)))
        });
        self.colds = stated.collect();
    }

    /// Returns what the entry of an endpoint says of how long it stays cold.
    pub(crate) fn cold(&self, id: &str) -> Option<steer::cold::Stated> {
        self.colds.get(id).map(|(_, stated)| *stated)
    }

    /// Replaces the whole list; each entry comes with the revision of its last
    /// change. Entries that are no longer listed are removed or held back. When a new
    /// era has begun, entries may be missing that the platform has lost and that
    /// endpoints are about to write again, so removals are held back, and
    /// endpoints that are leaving stay so. A list of an earlier era is ignored.
    pub fn replace(
        &mut self,
        now: time::Duration,
        list: Vec<(String, Entry, u64)>,
        version: impl Into<plan::Version>,
    ) {
        let version = version.into();
        if version.era < self.version.era {
            return;
        }
        self.begin_era(now, version);
        let listed: collections::BTreeSet<String> =
            list.iter().map(|(id, _, _)| id.clone()).collect();
        self.versions.retain(|id, _| listed.contains(id));
        self.colds.retain(|id, _| listed.contains(id));
        let missing: Vec<String> = self
            .endpoints
            .keys()
            .filter(|id| !listed.contains(*id) && !self.held_removals.contains_key(*id))
            .cloned()
            .collect();
        for id in missing {
            self.remove_or_hold(now, &id, true);
        }
        for (id, mut entry, changed) in list {
            self.keep_leaving(&mut entry);
            let changed = plan::Version::new(version.era, changed);
            if self.is_newer(&id, changed) {
                self.apply(now, &id, entry);
            }
        }
        self.version = self.version.max(version);
    }

    /// Replaces the whole list by that of another host, without holding back
    /// removals: the other host was in contact with the platform.
    pub fn replace_from_peer(
        &mut self,
        now: time::Duration,
        list: Vec<plan::Endpoint>,
        version: impl Into<plan::Version>,
    ) {
        let version = version.into();
        self.begin_era(now, version);
        self.held_removals.clear();
        self.peer_removals.clear();
        self.versions.clear();
        let known = core::mem::take(&mut self.endpoints);
        for mut endpoint in list {
            // Hosts of earlier builds do not state the builds of endpoints. Without its
            // start, a process cannot be told from another one with its id.
            if endpoint.build.is_none()
                && endpoint.started_ms != 0
                && let Some(known) = known.get(&endpoint.id)
                && known.started_ms == endpoint.started_ms
            {
                endpoint.build.clone_from(&known.build);
            }
            self.keep_endpoint_leaving(&mut endpoint);
            self.endpoints.insert(endpoint.id.clone(), endpoint);
        }
        self.version = version;
    }

    /// Takes the removals that the host holds back whose list was taken last, with the
    /// milliseconds until they are carried out.
    pub(crate) fn hold_from_peer(&mut self, now: time::Duration, removals: Vec<(String, u32)>) {
        let at = |left: u32| now + time::Duration::from_millis(left.into());
        self.peer_removals = removals
            .into_iter()
            .map(|(id, left)| (id, at(left)))
            .collect();
    }

    /// Returns the removals that are held back, with the milliseconds until they are
    /// carried out. During an outage that time is not known.
    pub(crate) fn held(&self, now: time::Duration) -> Vec<(String, u32)> {
        let left = |until: time::Duration| {
            let left = until.saturating_sub(now).as_millis();
            u32::try_from(left).unwrap_or(u32::MAX)
        };
        let own = self.held_removals.keys();
        let own = own.filter(|_| !self.is_unreachable());
        let own = own.map(|id| (id.clone(), left(self.hold_until)));
        let removals = self.peer_removals.iter();
        let of_peer = removals.map(|(id, until)| (id.clone(), left(*until)));
        own.chain(of_peer).collect()
    }

    /// Carries out the removals that were held back if the grace period is
    /// over; returns whether there were any.
    pub fn expire(&mut self, now: time::Duration) -> bool {
        let is_due = !self.is_unreachable() && now >= self.hold_until;
        let mut over = match is_due {
            true => core::mem::take(&mut self.held_removals),
            false => collections::BTreeMap::new(),
        };
        let of_peer = self.peer_removals.iter().filter(|(_, at)| **at <= now);
        over.extend(of_peer.map(|(id, at)| (id.clone(), *at)));
        self.peer_removals.retain(|_, at| *at > now);
        for id in over.keys() {
            self.endpoints.remove(id);
        }
        !over.is_empty()
    }

    /// Returns the endpoints in use, ordered by id, including those whose
    /// removal is held back.
    pub fn endpoints(&self) -> Vec<plan::Endpoint> {
        self.endpoints.values().cloned().collect()
    }

    /// Returns the platform's version of the newest change.
    pub const fn version(&self) -> plan::Version {
        self.version
    }

    /// Returns whether the platform is unreachable.
    pub const fn is_unreachable(&self) -> bool {
        self.unreachable_since.is_some()
    }

    /// Records the version of a change of an entry; returns whether no newer
    /// change of the entry is known.
    fn is_newer(&mut self, id: &str, version: plan::Version) -> bool {
        if version.era < self.version.era {
            return false;
        }
        self.version = self.version.max(version);
        let known = self.versions.entry(id.to_owned()).or_default();
        let is_newer = version >= *known;
        *known = version.max(*known);
        is_newer
    }

    /// Notes which processes are leaving, and holds removals back, if a list of this version
    /// is of a new era.
    fn begin_era(&mut self, now: time::Duration, version: plan::Version) {
        if version.era <= self.version.era || !self.version.is_some() {
            return;
        }
        self.hold_until = self.hold_until.max(now + self.removal_grace);
        let endpoints = self.endpoints.values();
        let leaving = endpoints.filter(|known| known.phase == plan::Phase::Leaving);
        self.leavers = leaving
            .map(|known| (known.id.clone(), known.started_ms))
            .collect();
    }

    /// Marks an endpoint of an older copy as leaving if it was when the copy was
    /// restored and its process is the same.
    fn keep_leaving(&self, entry: &mut Entry) {
        if let Entry::Endpoint(listed) = entry {
            self.keep_endpoint_leaving(listed);
        }
    }

    fn keep_endpoint_leaving(&self, listed: &mut plan::Endpoint) {
        if self.leavers.get(&listed.id) == Some(&listed.started_ms) {
            listed.phase = plan::Phase::Leaving;
        }
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
        self.peer_removals.remove(id);
        self.endpoints.remove(id);
    }
}
