use core::time;

use crate::endpoint;

/// Identifies one ask within a shard. Chosen by whoever calls the policy.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub u64);

/// A request for a place at one endpoint of the shard.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Identity of the ask.
    pub id: RequestId,
    /// Index into [`crate::Options::classes`].
    pub class: u16,
    /// Key of the team; 0 stands for all anonymous callers.
    pub team: u32,
    /// Hash of the caller within its team.
    pub caller: u64,
    /// Estimated prompt length in tokens.
    pub prompt_tokens: u32,
    /// Upper bound of the output length in tokens, if the caller gave one.
    pub max_tokens: Option<u32>,
    /// Hash of the leading part of the prompt, for prefix affinity; 0 for none.
    pub prefix_hash: u64,
    /// Hash of the whole request, for crash blame; 0 for none.
    pub fingerprint: u64,
    /// Time at which the answer is no longer wanted.
    pub deadline: time::Duration,
    /// Number of earlier attempts of the same request.
    pub attempt: u16,
    /// Endpoint of the last failed attempt.
    pub avoid: Option<endpoint::EndpointId>,
}
