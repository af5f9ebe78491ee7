use std::collections;

use bytes::Bytes;

use crate::snapshot;

/// Most changes that are kept.
const LINKS_MAX: usize = 64;

/// Most bytes of changes that are kept.
const BYTES_MAX: usize = 1 << 20;

/// A change from one configuration to the next one that was in force here.
#[derive(Debug)]
struct Link {
    from: plan::Version,
    to: plan::Version,
    /// Encoded [`plan::Delta`].
    delta: Bytes,
}

/// The latest changes of the configuration, for hosts that have an earlier one.
#[derive(Debug, Default)]
pub(crate) struct History {
    links: collections::VecDeque<Link>,
    /// Hash of a configuration, from which hosts learn whether they have the same one.
    content: Option<(plan::Version, u64)>,
}

impl History {
    /// Records that `after` has replaced `before`.
    pub(crate) fn record(&mut self, before: &plan::Plan, after: &plan::Plan) {
        let (from, to) = (before.version(), after.version());
        let is_next = self.links.back().is_none_or(|last| last.to == from);
        if !is_next {
            self.links.clear();
        }
        let delta = plan::Delta::new(before, after);
        // A plan holds nothing that cannot be encoded.
        let Ok(delta) = postcard::to_allocvec(&delta) else {
            self.links.clear();
            return;
        };
        let delta = delta.into();
        self.links.push_back(Link { from, to, delta });
        while self.links.len() > LINKS_MAX || self.bytes() > BYTES_MAX {
            self.links.pop_front();
        }
    }

    /// Returns the changes that turn the configuration of one version into that of another
    /// one, or `None` if they are not known.
    pub(crate) fn between(&self, from: plan::Version, to: plan::Version) -> Option<Vec<Bytes>> {
        let first = self.links.iter().position(|link| link.from == from)?;
        let last = self.links.back()?;
        let links = self.links.range(first..);
        (last.to == to).then(|| links.map(|link| link.delta.clone()).collect())
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

    fn bytes(&self) -> usize {
        self.links.iter().map(|link| link.delta.len()).sum()
    }
}

/// What turns the configuration of the host that asks into the one in force.
#[derive(Debug, Default, serde::Deserialize, serde::Serialize)]
pub(crate) struct Update {
    /// Encoded changes in their order. Without them, the state has the whole configuration,
    /// or none because the host has it.
    changes: Vec<Vec<u8>>,
    /// Hash of the result.
    content: u64,
    /// Whether the list of endpoints is left out because the host has it.
    pub(crate) has_same_endpoints: bool,
}

impl Update {
    /// Returns the update for a host with the configuration of the version `known`, if the
    /// changes since are known.
    pub(crate) fn new(history: &mut History, plan: &plan::Plan, known: plan::Version) -> Self {
        let changes = history.between(known, plan.version()).unwrap_or_default();
        Self {
            content: match changes.is_empty() {
                true => 0,
                false => history.content(plan),
            },
            changes: changes.iter().map(|delta| delta.to_vec()).collect(),
            has_same_endpoints: false,
        }
    }

    /// Returns whether the update stands for the configuration.
    pub(crate) fn has_changes(&self) -> bool {
        !self.changes.is_empty()
    }

    /// Returns the configuration that follows from `before`.
    ///
    /// # Errors
    ///
    /// Fails if the changes are malformed, or if they were made of another configuration.
    pub(crate) fn apply(&self, before: &plan::Plan) -> Result<plan::Plan, String> {
        let mut plan = before.clone();
        for change in &self.changes {
            let delta: plan::Delta =
                postcard::from_bytes(change).map_err(|cause| cause.to_string())?;
            plan = delta.apply(&plan).map_err(|cause| cause.to_string())?;
        }
        match snapshot::content(&plan) == self.content {
            true => Ok(plan),
            false => Err("it was made of another configuration".to_owned()),
        }
    }
}
