use core::time;

use crate::endpoint;
use crate::request;

/// Decision of a policy about one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// The request has a slot at the endpoint until [`crate::Policy::finish`].
    Grant {
        /// The granted request.
        request: request::RequestId,
        /// Endpoint to which the request is to be sent.
        endpoint: endpoint::EndpointId,
    },
    /// The request is refused and no longer known to the policy.
    Refuse {
        /// The refused request.
        request: request::RequestId,
        /// Reason of the refusal.
        kind: answer::Kind,
        /// Advised delay before a retry; `None` if a retry is of no use.
        retry_after: Option<time::Duration>,
    },
}
