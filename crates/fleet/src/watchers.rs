use core::time;
use std::collections;

use crate::rank;

/// Fewest hosts of a fleet that always read the platform themselves. Several are
/// needed because the platform may refuse a third of the hosts, and because hosts
/// are lost. All calls count against one limit, so the number must not grow with
/// the hosts.
const WATCHERS_MIN: usize = 6;

/// Key of the rendezvous hash that orders hosts of equal CPU time.
const RANK_KEY: &str = "watcher";

/// Age after which the CPU time that a host published is ignored.
const CAPACITY_AGE_MAX: time::Duration = time::Duration::from_secs(10);

/// Selects the hosts that read the platform for the fleet: those of each data
/// centre with the most CPU time. The others take its state from them.
#[derive(Debug, Default)]
pub struct Watchers {
    capacities: collections::HashMap<u64, (u16, time::Duration)>,
}

impl Watchers {
    /// Records the CPU time in thousandths of a core that the host with this hash
    /// publishes.
    pub fn record_capacity(&mut self, now: time::Duration, host: u64, cpu_millicores: u16) {
        self.capacities.insert(host, (cpu_millicores, now));
    }

    /// Returns the number of hosts that have published something in the last `window`.
    pub fn heard(&self, now: time::Duration, window: time::Duration) -> usize {
        let heard = |at: &time::Duration| now.saturating_sub(*at) <= window;
        self.capacities.values().filter(|(_, at)| heard(at)).count()
    }

    /// Returns whether a host with this name and CPU time is a watcher. `near` are
    /// the live hosts of its data centre with their hashes, and `data_centres` is
    /// the number of data centres with live hosts.
    ///
    /// Each data centre has at least one watcher, so that one that is cut off from
    /// the others still follows the platform.
    pub fn is_watcher<'a>(
        &self,
        now: time::Duration,
        own: (&str, u16),
        near: impl Iterator<Item = (&'a str, u64)>,
        data_centres: usize,
    ) -> bool {
        let rank = |name: &str, cpu_millicores: u16| (cpu_millicores, rank::score(name, RANK_KEY));
        let own_rank = rank(own.0, own.1);
        let before = near
            .filter(|(name, _)| *name != own.0)
            .filter(|(name, hash)| {
                let cpu_millicores = self.capacities.get(hash);
                cpu_millicores.is_some_and(|(cpu_millicores, at)| {
                    now.saturating_sub(*at) < CAPACITY_AGE_MAX
                        && rank(name, *cpu_millicores) > own_rank
                })
            })
            .count();
        before < WATCHERS_MIN.div_ceil(data_centres.max(1))
    }
}
