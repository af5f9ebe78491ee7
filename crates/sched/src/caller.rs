use crate::lines;
use crate::place;
use crate::tag;
use crate::team;

slotmap::new_key_type! {
    /// Key of a caller's flow.
    pub(crate) struct Key;
}

/// Flow of one caller within a team.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) id: u64,
    pub(crate) team: team::Key,
    pub(crate) tag: tag::Tag,
    /// Correction of the charge that is not part of the tag yet, in tokens.
    pub(crate) debt: f64,
    /// Listed among the idle callers of the team.
    pub(crate) idle: bool,
    /// Jobs that are queued or running.
    pub(crate) refs: usize,
    /// Jobs that could be taken.
    pub(crate) linked: usize,
    /// Cost of those before their target, in tokens.
    pub(crate) cost: f64,
    /// Jobs that could be taken, earliest deadline first.
    pub(crate) lines: lines::Lines<place::Place>,
}
