use core::time;

use crate::verdict;

/// The end of one request.
#[derive(Clone, Copy, Debug)]
pub struct Event<'a> {
    /// Position of the class in [`crate::Options::classes`].
    pub class: u16,
    /// Key of the team.
    pub team_key: u32,
    /// Name of the team.
    pub team: &'a str,
    /// Whether the request met its targets.
    pub verdict: verdict::Verdict,
    /// Time to the first token or, for services, to the answer; `None` for a
    /// request that got neither.
    pub time_to_first_token: Option<time::Duration>,
}
