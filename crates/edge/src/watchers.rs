use core::time;
use std::collections;

use crate::gossip;

/// Number of hosts of a data centre that always read the platform themselves.
/// Several are needed because the platform may refuse some hosts.
const WATCHERS_MAX: usize = 4;

/// Key of the rendezvous hash that orders hosts of equal CPU time.
const RANK_KEY: &str = "watcher";

/// Age after which the CPU time that a host published is ignored.
const CAPACITY_AGE_MAX: time::Duration = time::Duration::from_secs(10);

/// Selects the hosts that read the platform for their data centre: those with
/// the most CPU time. The others take its state from them.
#[derive(Debug, Default)]
pub(crate) struct Watchers {
    capacities: collections::HashMap<u64, (u16, time::Duration)>,
}

impl Watchers {
    /// Records the CPU time that another host publishes.
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
