use std::collections;

use rand::seq::IteratorRandom;

use crate::balancer;
use crate::key;
use crate::partition;
use crate::work;

/// Endpoints of the own data centre that are drawn for a request. Hosts that
/// read the same loads and compare all endpoints would all send to the one that
/// was the emptiest a moment ago.
const NEAR_DRAWN: usize = 2;

/// Endpoints of other data centres that are drawn.
const FAR_DRAWN: usize = 1;

/// Endpoints that are drawn of those which are kept for the other kind of work.
const OTHER_DRAWN: usize = 1;

impl balancer::Balancer {
    /// Draws the endpoints that are compared for a request of an engine, and
    /// adds those that know its prompt.
    pub(crate) fn shortlist(
        &self,
        work: &work::Work,
        keys: &[key::Key],
        partition: &partition::Partition,
        rng: &mut impl rand::Rng,
    ) -> Vec<key::Key> {
        let is_local =
            |key: key::Key| self.endpoints[key].listed.data_centre == self.options.data_centre;
        let mut draw = |count: usize, wanted: &dyn Fn(key::Key) -> bool| {
            keys.iter()
                .copied()
                .filter(|key| wanted(*key))
                .sample(rng, count)
        };
        let mut drawn: collections::BTreeSet<key::Key> = collections::BTreeSet::new();
        drawn.extend(draw(NEAR_DRAWN, &|key| {
            partition.meant.contains(&key) && is_local(key)
        }));
        drawn.extend(draw(FAR_DRAWN, &|key| {
            partition.meant.contains(&key) && !is_local(key)
        }));
        let missing = NEAR_DRAWN + FAR_DRAWN - drawn.len();
        drawn.extend(draw(OTHER_DRAWN + missing, &|key| {
            !partition.meant.contains(&key)
        }));
        drawn.extend(&partition.ranked);
        let shared = work.shared();
        if work.is_bulk() && !shared.is_empty() {
            let knows = |key: &key::Key| self.endpoints[*key].cache.leading(shared) == shared.len();
            drawn.extend(keys.iter().copied().filter(knows));
        }
        drawn.into_iter().collect()
    }
}
