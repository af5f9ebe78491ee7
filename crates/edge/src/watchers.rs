use core::time;
use std::collections;

use crate::news;

/// Hosts of a data centre that always read the platform themselves. Several
/// are needed because the platform may turn some hosts away.
const WATCHERS: usize = 4;

/// Key under which hosts of the same strength are ranked.
const RANK: &str = "watcher";

/// Age after which the published strength of a host no longer counts.
const STRENGTH_AGE: time::Duration = time::Duration::from_secs(10);

/// Decides which hosts read the platform; the others learn from them.
#[derive(Debug, Default)]
pub(crate) struct Watchers {
    strengths: collections::HashMap<u64, (u16, time::Duration)>,
}

impl Watchers {
    /// Takes the strength that another host publishes.
    pub(crate) fn hear(&mut self, now: time::Duration, sender: u64, strength: u16) {
        self.strengths.insert(sender, (strength, now));
    }

    /// Returns whether a host is among the watchers of its data centre.
    /// `others` are the live hosts there.
    pub(crate) fn is_watcher<'a>(
        &self,
        now: time::Duration,
        own: (&str, u16),
        others: impl Iterator<Item = &'a str>,
    ) -> bool {
        let rank = |name: &str, strength: u16| (strength, fleet::rank::score(name, RANK));
        let own_rank = rank(own.0, own.1);
        let before = others
            .filter(|name| *name != own.0)
            .filter(|name| {
                let strength = self.strengths.get(&news::sender(name));
                strength.is_some_and(|(strength, at)| {
                    now.saturating_sub(*at) < STRENGTH_AGE && rank(name, *strength) > own_rank
                })
            })
            .count();
        before < WATCHERS
    }
}
