use std::collections;

use rand::seq::IteratorRandom;

use crate::fleet;
use crate::key;
use crate::need;
use crate::position;

/// Endpoints of the own data centre that are drawn for a request. Hosts that
/// read the same loads and compare all endpoints would all send to the one that
/// was the emptiest a moment ago.
const NEAR_DRAWN: usize = 2;

/// Endpoints of other data centres that are drawn.
const FAR_DRAWN: usize = 1;

/// Endpoints that are drawn of those which are kept for the other kind of work.
const OTHER_DRAWN: usize = 1;

impl fleet::Fleet {
    /// Draws the endpoints that are compared for a request of an engine, and
    /// adds those that know its prompt.
    pub(crate) fn shortlist(
        &self,
        work: &need::Work,
        keys: &[key::Key],
        border: &position::Border,
        rng: &mut impl rand::Rng,
    ) -> Vec<key::Key> {
        let is_near =
            |key: key::Key| self.endpoints[key].listed.data_centre == self.options.data_centre;
        let mut draw = |count: usize, wanted: &dyn Fn(key::Key) -> bool| {
            keys.iter()
                .copied()
                .filter(|key| wanted(*key))
                .sample(rng, count)
        };
        let mut drawn: collections::BTreeSet<key::Key> = collections::BTreeSet::new();
        drawn.extend(draw(NEAR_DRAWN, &|key| {
            border.meant.contains(&key) && is_near(key)
        }));
        drawn.extend(draw(FAR_DRAWN, &|key| {
            border.meant.contains(&key) && !is_near(key)
        }));
        let missing = NEAR_DRAWN + FAR_DRAWN - drawn.len();
        drawn.extend(draw(OTHER_DRAWN + missing, &|key| {
            !border.meant.contains(&key)
        }));
        drawn.extend(&border.ranked);
        let shared = work.shared();
        if work.is_bulk() && !shared.is_empty() {
            let knows = |key: &key::Key| self.endpoints[*key].cache.leading(shared) == shared.len();
            drawn.extend(keys.iter().copied().filter(knows));
        }
        drawn.into_iter().collect()
    }
}
