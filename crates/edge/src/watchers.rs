use core::time;
use std::collections;

use crate::gossip;

/// Hosts of a data centre that always read the platform themselves. Several
/// are needed because the platform may turn some hosts away.
const WATCHERS_MAX: usize = 4;

/// Key under which hosts of the same cpu_millicores are ranked.
const RANK_KEY: &str = "watcher";

/// Age after which the published cpu_millicores of a host no longer counts.
const CAPACITY_AGE_MAX: time::Duration = time::Duration::from_secs(10);

/// Decides which hosts read the platform; the others learn from them.
#[derive(Debug, Default)]
pub(crate) struct Watchers {
    capacities: collections::HashMap<u64, (u16, time::Duration)>,
}

impl Watchers {
    /// Takes the cpu_millicores that another host publishes.
    pub(crate) fn record_capacity(
        &mut self,
        now: time::Duration,
        sender: u64,
        cpu_millicores: u16,
    ) {
        self.capacities.insert(sender, (cpu_millicores, now));
    }

    /// Returns whether a host is among the watchers of its data centre.
    /// `others` are the live hosts there.
    pub(crate) fn is_watcher<'a>(
        &self,
        now: time::Duration,
        own: (&str, u16),
        others: impl Iterator<Item = &'a str>,
    ) -> bool {
        let rank =
            |name: &str, cpu_millicores: u16| (cpu_millicores, fleet::rank::score(name, RANK_KEY));
        let own_rank = rank(own.0, own.1);
        let before = others
            .filter(|name| *name != own.0)
            .filter(|name| {
                let cpu_millicores = self.capacities.get(&gossip::name_hash(name));
                cpu_millicores.is_some_and(|(cpu_millicores, at)| {
                    now.saturating_sub(*at) < CAPACITY_AGE_MAX
                        && rank(name, *cpu_millicores) > own_rank
                })
            })
            .count();
        before < WATCHERS_MAX
    }
}
