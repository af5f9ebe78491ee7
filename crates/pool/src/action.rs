use core::time;

use crate::ask;
use crate::endpoint;

/// A decision of the policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// The ask may run at the endpoint.
    Grant {
        /// The ask.
        ask: ask::AskId,
        /// Where it runs.
        endpoint: endpoint::EndpointId,
    },
    /// The ask will not be granted.
    Refuse {
        /// The ask.
        ask: ask::AskId,
        /// Why.
        kind: answer::Kind,
        /// When a retry is sensible.
        retry_after: Option<time::Duration>,
    },
}
