use core::time;

use http::header;

use crate::guard;
use crate::link;

/// An answer whose head has arrived.
#[derive(Debug)]
pub(crate) struct Open {
    pub(crate) status: http::StatusCode,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: hyper::body::Incoming,
    pub(crate) link: link::Link,
    pub(crate) guard: guard::Guard,
    pub(crate) pick: steer::Pick,
}

impl Open {
    /// Returns whether the answer says where it ends. Without, it ends with
    /// its connection.
    pub(crate) fn is_framed(&self) -> bool {
        self.headers.contains_key(header::CONTENT_LENGTH)
            || self.headers.contains_key(header::TRANSFER_ENCODING)
    }

    /// Returns how long the endpoint keeps the connection, if it says so.
    pub(crate) fn idle_time(&self) -> Option<time::Duration> {
        let value = self.headers.get("keep-alive")?.to_str().ok()?;
        value
            .split(',')
            .filter_map(|part| part.trim().strip_prefix("timeout="))
            .find_map(|seconds| seconds.parse().ok())
            .map(time::Duration::from_secs)
    }
}
