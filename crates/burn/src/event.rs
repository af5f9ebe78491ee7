use core::time;

use crate::verdict;

/// A request that has ended.
#[derive(Clone, Copy, Debug)]
pub struct Event<'a> {
    /// Position of the class in [`crate::Options::classes`].
    pub class: u16,
    /// Number that identifies the team. Requests of a class with the same number are
    /// counted together.
    pub team_key: u32,
    /// Name of the team for reports; copied when its series is created.
    pub team: &'a str,
    /// Whether the request met its targets.
    pub verdict: verdict::Verdict,
    /// Time from arrival to the first token or, for services, to the answer; `None`
    /// if there was neither.
    pub time_to_first_token: Option<time::Duration>,
}
