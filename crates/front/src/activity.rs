use core::time;
use std::sync;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::buffers;
use crate::options;

/// Current state of a connection, from which its time-outs follow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Activity {
    /// Number of requests whose response is not complete.
    in_flight: usize,
    /// Time of the last change of `in_flight`.
    changed_at: Instant,
    /// Whether the head of a request has been received.
    has_served: bool,
    /// Whether the last request used HTTP/2.
    is_http2: bool,
    /// Time of the first byte received since the last request head while no
    /// request was in flight.
    head_started_at: Option<Instant>,
    /// Time since which the caller has accepted no byte of a pending write. Bytes that
    /// it accepts move the time on by what they may take at the least rate, so that a
    /// caller that reads a byte from time to time is no better off.
    blocked_since: Option<Instant>,
    /// Number of request heads that were received.
    heads: u64,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reason {
    /// A request head did not arrive in time.
    SlowHead,
    /// No request was in flight for the keep-alive time.
    Idle,
    /// The caller did not read its response in time.
    Stalled,
}

impl Activity {
    /// Returns the state of a connection that was opened at `now`.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            in_flight: 0,
            changed_at: now,
            has_served: false,
            is_http2: false,
            head_started_at: None,
            blocked_since: None,
            heads: 0,
        }
    }

    /// Returns whether a request is in flight.
    pub(crate) fn is_serving(&self) -> bool {
        self.in_flight > 0
    }

    /// Returns whether the last request used HTTP/2.
    pub(crate) fn is_http2(&self) -> bool {
        self.is_http2
    }

    /// Returns the number of request heads that were received.
    pub(crate) fn heads(&self) -> u64 {
        self.heads
    }

    /// Returns when and why to close the connection if nothing changes, or `None`
    /// while a request is in flight whose response is not blocked.
    ///
    /// Over HTTP/2 any frame may arrive between two requests. After the first
    /// request an unfinished head therefore cannot be distinguished from an idle
    /// connection, and the connection is closed as idle.
    pub(crate) fn deadline(&self, options: &options::Options) -> Option<(Instant, Reason)> {
        if let Some(start) = self.blocked_since {
            return Some((start + options.write_timeout, Reason::Stalled));
        }
        if self.in_flight > 0 {
            return None;
        }
        if !self.has_served {
            return Some((self.changed_at + options.idle_timeout, Reason::SlowHead));
        }
        match self.head_started_at {
            Some(start) if !self.is_http2 => Some((start + options.idle_timeout, Reason::SlowHead)),
            _ => Some((self.changed_at + options.keep_alive, Reason::Idle)),
        }
    }

    /// Returns the time since which no request is in flight, or `None` if one is.
    pub(crate) fn idle_since(&self) -> Option<Instant> {
        (self.in_flight == 0).then_some(self.changed_at)
    }
}

/// Guard of a request in flight, which ends when the guard is dropped.
#[derive(Debug)]
pub(crate) struct Guard {
    activity: watch::Sender<Activity>,
    buffers: sync::Arc<buffers::Buffers>,
}

impl Guard {
    /// Records the start of a request.
    pub(crate) fn start(
        activity: &watch::Sender<Activity>,
        buffers: &sync::Arc<buffers::Buffers>,
        version: http::Version,
    ) -> Self {
        activity.send_modify(|state| {
            state.in_flight += 1;
            state.changed_at = Instant::now();
            state.has_served = true;
            state.is_http2 = version == http::Version::HTTP_2;
            state.head_started_at = None;
            state.heads += 1;
        });
        buffers.holder().set_waiting(false);
        Self {
            activity: activity.clone(),
            buffers: buffers.clone(),
        }
    }

    /// Returns the buffers of the connection.
    pub(crate) fn buffers(&self) -> &buffers::Buffers {
        &self.buffers
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut is_last = false;
        self.activity.send_modify(|state| {
            state.in_flight -= 1;
            state.changed_at = Instant::now();
            is_last = state.in_flight == 0 && state.blocked_since.is_none();
        });
        if is_last {
            self.buffers.holder().set_waiting(true);
        }
    }
}

/// Records that bytes were received.
pub(crate) fn record_received(activity: &watch::Sender<Activity>) {
    activity.send_if_modified(|state| {
        let is_first = state.in_flight == 0 && state.head_started_at.is_none();
        if is_first {
            state.head_started_at = Some(Instant::now());
        }
        is_first
    });
}

/// Records whether the caller has to read before anything more can be written.
pub(crate) fn record_blocked(activity: &watch::Sender<Activity>, is_blocked: bool) {
    activity.send_modify(|state| state.blocked_since = is_blocked.then(Instant::now));
}

/// Records that a caller has accepted bytes of a blocked write, which may take the time
/// `earned` at the least rate.
pub(crate) fn record_accepted(activity: &watch::Sender<Activity>, earned: time::Duration) {
    activity.send_modify(|state| {
        let now = Instant::now();
        state.blocked_since = state.blocked_since.map(|since| now.min(since + earned));
    });
}
