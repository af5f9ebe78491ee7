use std::collections;

use crate::caller;
use crate::lines;
use crate::tag;

slotmap::new_key_type! {
    /// Key of a team's flow.
    pub(crate) struct Key;
}

/// Flow of one team within a tier.
#[derive(Debug)]
pub(crate) struct Team {
    pub(crate) id: u32,
    pub(crate) tier: usize,
    pub(crate) weight: f64,
    pub(crate) tag: tag::Tag,
    /// Correction of the charge that is not part of the tag yet, in tokens.
    pub(crate) debt: f64,
    /// Virtual time among the callers of the team.
    pub(crate) system: tag::Tag,
    /// Jobs that are queued or running.
    pub(crate) refs: usize,
    /// Jobs that are queued.
    pub(crate) queued: usize,
    /// Jobs that could be taken.
    pub(crate) linked: usize,
    /// Callers with a job that could be taken.
    pub(crate) active: usize,
    /// Cost of those before their target, in tokens.
    pub(crate) cost: f64,
    pub(crate) lines: lines::Lines<(tag::Tag, caller::Key)>,
    pub(crate) callers: rustc_hash::FxHashMap<u64, caller::Key>,
    /// Callers without jobs, in the order in which they became idle; some have
    /// come back since.
    pub(crate) idle: collections::VecDeque<caller::Key>,
}

impl lines::Item for (tag::Tag, caller::Key) {
    fn least() -> Self {
        (tag::Tag(f64::NEG_INFINITY), caller::Key::default())
    }
}
