use tokio::sync::watch;
use tokio::time::Instant;

use crate::options;

/// What a connection does at the moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Activity {
    /// Requests whose answer is not finished.
    in_flight: usize,
    /// Time of the last change of `in_flight`.
    changed: Instant,
    /// Whether a request arrived.
    served: bool,
    /// Whether the last request came over HTTP/2.
    http2: bool,
    /// Arrival of the first byte since no request is in flight.
    head: Option<Instant>,
    /// Start of the time in which the caller takes no bytes that wait for it.
    blocked: Option<Instant>,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reason {
    /// A request head did not arrive in time.
    Slow,
    /// No request was in flight for the keep-alive time.
    Idle,
    /// The caller did not read its answer.
    Stalled,
}

impl Activity {
    /// Returns the state of a connection that was opened now.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            in_flight: 0,
            changed: now,
            served: false,
            http2: false,
            head: None,
            blocked: None,
        }
    }

    /// Returns when and why to close the connection if nothing changes.
    ///
    /// Over HTTP/2 any frame may arrive between two requests, so that a late
    /// head cannot be told from an idle connection once a request was served;
    /// it is closed as idle.
    pub(crate) fn deadline(&self, options: &options::Options) -> Option<(Instant, Reason)> {
        if let Some(start) = self.blocked {
            return Some((start + options.write_timeout, Reason::Stalled));
        }
        if self.in_flight > 0 {
            return None;
        }
        if !self.served {
            return Some((self.changed + options.idle_timeout, Reason::Slow));
        }
        match self.head {
            Some(start) if !self.http2 => Some((start + options.idle_timeout, Reason::Slow)),
            _ => Some((self.changed + options.keep_alive, Reason::Idle)),
        }
    }

    /// Returns since when no request is in flight.
    pub(crate) fn quiet_since(&self) -> Option<Instant> {
        (self.in_flight == 0).then_some(self.changed)
    }
}

/// A request in flight; it ends on drop.
#[derive(Debug)]
pub(crate) struct Running(watch::Sender<Activity>);

impl Running {
    /// Notes the start of a request.
    pub(crate) fn start(activity: &watch::Sender<Activity>, version: http::Version) -> Self {
        activity.send_modify(|state| {
            state.in_flight += 1;
            state.changed = Instant::now();
            state.served = true;
            state.http2 = version == http::Version::HTTP_2;
            state.head = None;
        });
        Self(activity.clone())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.send_modify(|state| {
            state.in_flight -= 1;
            state.changed = Instant::now();
        });
    }
}

/// Notes that bytes arrived.
pub(crate) fn received(activity: &watch::Sender<Activity>) {
    activity.send_if_modified(|state| {
        let is_first = state.in_flight == 0 && state.head.is_none();
        if is_first {
            state.head = Some(Instant::now());
        }
        is_first
    });
}

/// Notes whether the caller takes the bytes that wait for it.
pub(crate) fn blocked(activity: &watch::Sender<Activity>, is_blocked: bool) {
    activity.send_modify(|state| state.blocked = is_blocked.then(Instant::now));
}
