use core::time;

use crate::endpoint;
use crate::request;

/// A decision of the policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// The ask may run at the endpoint.
    Grant {
        /// The ask.
        request: request::RequestId,
        /// Where it runs.
        endpoint: endpoint::EndpointId,
    },
    /// The ask will not be granted.
    Refuse {
        /// The ask.
        request: request::RequestId,
        /// Why.
        kind: answer::Kind,
        /// When a retry is sensible.
        retry_after: Option<time::Duration>,
    },
}
