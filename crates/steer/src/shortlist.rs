use std::collections;

use rand::seq::IteratorRandom;

use crate::balancer;
use crate::key;
use crate::partition;
use crate::work;

/// Number of endpoints of the own data centre that are sampled for a request.
/// If hosts compared all endpoints on the same load data, all of them would
/// send to the endpoint that was least loaded a moment ago.
const LOCAL_SAMPLES: usize = 2;

/// Number of endpoints of other data centres that are sampled.
const REMOTE_SAMPLES: usize = 1;

/// Number of endpoints reserved for the other kind of work that are sampled.
const UNRESERVED_SAMPLES: usize = 1;

impl balancer::Balancer {
    /// Samples the engines that are compared for a request, and adds those that
    /// rank first for its prompt or, for bulk work, have it cached.
    pub(crate) fn shortlist(
        &self,
        work: &work::Work,
        keys: &[key::Key],
        partition: &partition::Partition,
        rng: &mut impl rand::Rng,
    ) -> Vec<key::Key> {
        let is_local =
            |key: key::Key| self.endpoints[key].listed.data_centre == self.options.data_centre;
        let mut sample_keys = |count: usize, wanted: &dyn Fn(key::Key) -> bool| {
            keys.iter()
                .copied()
                .filter(|key| wanted(*key))
                .sample(rng, count)
        };
        let mut sampled: collections::BTreeSet<key::Key> = collections::BTreeSet::new();
        sampled.extend(sample_keys(LOCAL_SAMPLES, &|key| {
            partition.reserved.contains(&key) && is_local(key)
        }));
        sampled.extend(sample_keys(REMOTE_SAMPLES, &|key| {
            partition.reserved.contains(&key) && !is_local(key)
        }));
        let missing = LOCAL_SAMPLES + REMOTE_SAMPLES - sampled.len();
        sampled.extend(sample_keys(UNRESERVED_SAMPLES + missing, &|key| {
            !partition.reserved.contains(&key)
        }));
        sampled.extend(&partition.ranked);
        let shared = work.shared();
        if work.is_bulk() && !shared.is_empty() {
            let has_prompt =
                |key: &key::Key| self.endpoints[*key].cache.prefix_len(shared) == shared.len();
            sampled.extend(keys.iter().copied().filter(has_prompt));
        }
        sampled.into_iter().collect()
    }
}
