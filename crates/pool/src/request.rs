use core::time;

use crate::endpoint;

/// Identifier of a [`Request`], unique within a shard and chosen by the owner of
/// the policy.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub u64);

/// A request for one slot at any endpoint of the shard.
///
/// Each attempt of a caller's request is a request of its own.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Identifier by which later inputs and actions refer to the request.
    pub id: RequestId,
    /// Index into [`crate::Options::classes`]; a larger one stands for the last
    /// class.
    pub class: u16,
    /// Key of the team, as in [`crate::Options::weights`]; 0 for anonymous callers.
    pub team: u32,
    /// Hash of the caller within its team.
    pub caller: u64,
    /// Estimated prompt length in tokens.
    pub prompt_tokens: u32,
    /// Upper bound of the output length in tokens; `None` if the caller set none.
    pub max_tokens: Option<u32>,
    /// Hash of the leading part of the prompt, for prefix affinity; 0 for none.
    pub prefix_hash: u64,
    /// Hash of the whole request, by which crashes are attributed to it; 0 for
    /// none.
    pub fingerprint: u64,
    /// Time from which the response is no longer of use to the caller.
    pub deadline: time::Duration,
    /// Number of earlier attempts of the same caller's request; above 0 the
    /// request draws on the retry budget of its class.
    pub attempt: u16,
    /// Endpoint of the last failed attempt, which is avoided if possible.
    pub avoid: Option<endpoint::EndpointId>,
}
