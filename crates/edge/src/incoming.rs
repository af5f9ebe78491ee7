use core::time;

use crate::connection;
use crate::forward;
use crate::guard;
use crate::host;

/// An attempt whose head of the answer has arrived.
pub(crate) struct Run {
    /// Number of the attempt within its request.
    pub(crate) number: u32,
    pub(crate) connection: connection::Connection,
    pub(crate) guard: guard::Guard,
    pub(crate) pick: steer::Pick,
}

impl Run {
    /// Returns the answer with this head.
    pub(crate) fn into_answer(self, response: connection::Response) -> Answer {
        let (parts, body) = response.into_parts();
        let way = parts.extensions.get::<forward::Way>();
        let is_framed = match way {
            Some(way) => way.is_framed,
            None => back::response::is_framed(parts.version, &parts.headers),
        };
        Answer {
            is_framed,
            number: self.number,
            status: parts.status,
            headers: parts.headers,
            body,
            connection: self.connection,
            guard: self.guard,
            pick: self.pick,
        }
    }
}

/// An answer whose head has arrived and whose body is still being read.
#[derive(Debug)]
pub(crate) struct Answer {
    /// Number of the attempt within its request.
    pub(crate) number: u32,
    pub(crate) status: http::StatusCode,
    /// Whether the answer declares the end of its body. Otherwise the body ends when
    /// the connection closes.
    pub(crate) is_framed: bool,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: hyper::body::Incoming,
    pub(crate) connection: connection::Connection,
    pub(crate) guard: guard::Guard,
    pub(crate) pick: steer::Pick,
}

impl Answer {
    /// Records the end of a complete answer, returns the connection to the pool
    /// and returns the headers.
    pub(crate) fn finish(self, host: &host::Host) -> http::HeaderMap {
        let idle_time = idle_time(&self.headers);
        let end = match self.status.is_server_error() {
            true => steer::End::Failed,
            false => steer::End::Served,
        };
        self.guard.end(end);
        host.connections.keep(self.connection, idle_time);
        self.headers
    }
}

/// Returns the idle time-out that an endpoint states in `Keep-Alive`.
pub(crate) fn idle_time(headers: &http::HeaderMap) -> Option<time::Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    value
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.parse().ok())
        .map(time::Duration::from_secs)
}
