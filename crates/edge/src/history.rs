use std::collections;

use bytes::Bytes;
use xxhash_rust::xxh3;

use crate::snapshot;

/// Most changes that are kept.
const LINKS_MAX: usize = 64;

/// Most bytes of changes that are kept.
const BYTES_MAX: usize = 1 << 20;

/// A change from one version of a state to the next one that was in use here.
#[derive(Debug)]
struct Link {
    from: plan::Version,
    to: plan::Version,
    /// Encoded change.
    change: Bytes,
}

/// The latest changes of one state, in their order.
#[derive(Debug, Default)]
struct Chain(collections::VecDeque<Link>);

impl Chain {
    /// Adds a change, and forgets those that are too old or do not lead to it.
    fn push(&mut self, from: plan::Version, to: plan::Version, change: Vec<u8>) {
        if self.0.back().is_some_and(|last| last.to != from) {
            self.0.clear();
        }
        let change = change.into();
        self.0.push_back(Link { from, to, change });
        while self.0.len() > LINKS_MAX || self.bytes() > BYTES_MAX {
            self.0.pop_front();
        }
    }

    /// Returns the changes from one version to another one, or `None` if they are not known.
    fn between(&self, from: plan::Version, to: plan::Version) -> Option<Vec<Bytes>> {
        let first = self.0.iter().position(|link| link.from == from)?;
        let last = self.0.back()?;
        let links = self.0.range(first..);
        (last.to == to).then(|| links.map(|link| link.change.clone()).collect())
    }

    fn bytes(&self) -> usize {
        self.0.iter().map(|link| link.change.len()).sum()
    }
}

/// The latest changes of the state, for hosts that have an earlier one.
#[derive(Debug, Default)]
pub(crate) struct History {
    plans: Chain,
    lists: Chain,
    /// Hash of a configuration, from which hosts learn whether they have the same one.
    content: Option<(plan::Version, u64)>,
    /// List of endpoints that was in use last, with its version.
    list: (plan::Version, Vec<plan::Endpoint>),
}

impl History {
    /// Records that `after` has replaced `before`.
    pub(crate) fn record(&mut self, before: &plan::Plan, after: &plan::Plan) {
        let delta = plan::Delta::new(before, after);
        // A plan holds nothing that cannot be encoded.
        if let Ok(delta) = postcard::to_allocvec(&delta) {
            self.plans.push(before.version(), after.version(), delta);
        }
    }

    /// Records the list of endpoints in use, which is ordered by id. It may differ from
    /// another one of the same version, as removals are held back at times.
    pub(crate) fn record_list(&mut self, version: plan::Version, list: &[plan::Endpoint]) {
        let (known, before) = &self.list;
        if *known == version && before == list {
            return;
        }
        if let Ok(change) = postcard::to_allocvec(&ListChange::new(before, list)) {
            self.lists.push(*known, version, change);
        }
        self.list = (version, list.to_vec());
    }

    /// Returns the changes that turn the configuration of one version into that of another
    /// one, or `None` if they are not known.
    pub(crate) fn between(&self, from: plan::Version, to: plan::Version) -> Option<Vec<Bytes>> {
        self.plans.between(from, to)
    }

    /// Returns the hash of the content of the configuration in force.
    pub(crate) fn content(&mut self, plan: &plan::Plan) -> u64 {
        let version = plan.version();
        match self.content {
            Some((known, content)) if known == version => content,
            _ => {
                let content = snapshot::content(plan);
                self.content = Some((version, content));
                content
            }
        }
    }
}

/// What turns one list of endpoints into another one.
#[derive(Debug, serde::Deserialize, serde::Serialize)]
struct ListChange {
    /// Endpoints that are new or differ, each with the version of its software, which its
    /// own encoding leaves out.
    put: Vec<(plan::Endpoint, Option<String>)>,
    removed: Vec<String>,
}

impl ListChange {
    fn new(before: &[plan::Endpoint], after: &[plan::Endpoint]) -> Self {
        let known = by_id(before);
        let left = by_id(after);
        let is_new = |endpoint: &&plan::Endpoint| known.get(endpoint.id.as_str()) != Some(endpoint);
        let put = after.iter().filter(is_new);
        let removed = before.iter().map(|endpoint| &endpoint.id);
        Self {
            put: put
                .map(|endpoint| (endpoint.clone(), endpoint.build.clone()))
                .collect(),
            removed: removed
                .filter(|id| !left.contains_key(id.as_str()))
                .cloned()
                .collect(),
        }
    }

    fn apply(self, list: &mut collections::BTreeMap<String, plan::Endpoint>) {
        for id in &self.removed {
            list.remove(id);
        }
        for (mut endpoint, build) in self.put {
            endpoint.build = build;
            list.insert(endpoint.id.clone(), endpoint);
        }
    }
}

fn by_id(list: &[plan::Endpoint]) -> collections::HashMap<&str, &plan::Endpoint> {
    let list = list.iter();
    list.map(|endpoint| (endpoint.id.as_str(), endpoint))
        .collect()
}

/// Returns the hash of a list of endpoints.
fn list_content(list: &[plan::Endpoint]) -> u64 {
    let builds: Vec<_> = list.iter().map(|endpoint| &endpoint.build).collect();
    // A list holds nothing that cannot be encoded.
    let bytes = postcard::to_allocvec(&(list, builds));
    bytes.map_or(0, |bytes| xxh3::xxh3_64(&bytes))
}

/// What turns the state of the host that asks into that of this one.
#[derive(Debug, Default, serde::Deserialize, serde::Serialize)]
pub(crate) struct Update {
    /// Encoded changes of the configuration in their order. Without them, the state has the
    /// whole, or none because the host has it.
    changes: Vec<Vec<u8>>,
    /// Hash of the result.
    content: u64,
    /// Encoded changes of the list of endpoints in their order. Without them, the state has
    /// the whole list, unless the host has it.
    list_changes: Vec<Vec<u8>>,
    /// Hash of the result.
    list_content: u64,
    /// Whether the list of endpoints is left out because the host has it, or a newer one.
    pub(crate) has_same_endpoints: bool,
}

impl Update {
    /// Adds the changes since the configuration of the version `known`, if they are known.
    pub(crate) fn add_plan(
        &mut self,
        history: &mut History,
        known: plan::Version,
        plan: &plan::Plan,
    ) {
        if let Some(changes) = history.between(known, plan.version()) {
            self.changes = changes.iter().map(|change| change.to_vec()).collect();
            self.content = history.content(plan);
        }
    }

    /// Adds the changes since the list of endpoints of the version `known`, if they are
    /// known.
    pub(crate) fn add_list(
        &mut self,
        history: &History,
        known: plan::Version,
        (version, list): (plan::Version, &[plan::Endpoint]),
    ) {
        // Hosts that read the platform at different times give one list different versions.
        self.has_same_endpoints = known >= version;
        if self.has_same_endpoints {
            return;
        }
        if let Some(changes) = history.lists.between(known, version) {
            self.list_changes = changes.iter().map(|change| change.to_vec()).collect();
            self.list_content = list_content(list);
        }
    }

    /// Returns whether the update stands for the configuration.
    pub(crate) fn has_changes(&self) -> bool {
        !self.changes.is_empty()
    }

    /// Returns whether the whole list of endpoints is left out.
    pub(crate) fn has_list(&self) -> bool {
        self.has_same_endpoints || !self.list_changes.is_empty()
    }

    /// Returns the configuration that follows from `before`, or `None` without changes.
    ///
    /// # Errors
    ///
    /// Fails if the changes are malformed, or if they were made of another configuration.
    pub(crate) fn apply(&self, before: &plan::Plan) -> Result<Option<plan::Plan>, String> {
        if self.changes.is_empty() {
            return Ok(None);
        }
        let mut plan = before.clone();
        for change in &self.changes {
            let delta: plan::Delta = decode(change)?;
            plan = delta.apply(&plan).map_err(|cause| cause.to_string())?;
        }
        match snapshot::content(&plan) == self.content {
            true => Ok(Some(plan)),
            false => Err("it was made of another configuration".to_owned()),
        }
    }

    /// Returns the list of endpoints that follows from `before`, ordered by id, or `None`
    /// without changes.
    ///
    /// # Errors
    ///
    /// Fails if the changes are malformed, or if they were made of another list.
    pub(crate) fn apply_list(
        &self,
        before: Vec<plan::Endpoint>,
    ) -> Result<Option<Vec<plan::Endpoint>>, String> {
        if self.list_changes.is_empty() {
            return Ok(None);
        }
        let before = before.into_iter();
        let mut list = before
            .map(|endpoint| (endpoint.id.clone(), endpoint))
            .collect();
        for change in &self.list_changes {
            decode::<ListChange>(change)?.apply(&mut list);
        }
        let list: Vec<plan::Endpoint> = list.into_values().collect();
        match list_content(&list) == self.list_content {
            true => Ok(Some(list)),
            false => Err("it was made of another list of endpoints".to_owned()),
        }
    }
}

fn decode<'a, T: serde::Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, String> {
    postcard::from_bytes(bytes).map_err(|cause| cause.to_string())
}
