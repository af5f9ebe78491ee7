use core::time;
use tokio::time as clock;

use super::options;

/// Action that is due when the timer of a link fires.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Due {
    Nothing,
    Ping,
    /// The other host did not answer in time; the link must be closed.
    Unresponsive,
    /// The link has been idle and may be closed.
    Idle,
}

/// Timer for pings, time-outs and idleness of an open link.
///
/// In all methods `has_calls` states whether calls are pending and `has_grants`
/// whether grants are open.
pub struct Timer {
    ping_delay: time::Duration,
    ping_timeout: time::Duration,
    keepalive_interval: time::Duration,
    idle_timeout: time::Duration,
    /// Last answer, or the start of the wait for one.
    last_answer: clock::Instant,
    /// Last call that was not a ping.
    last_call: clock::Instant,
    /// Time of the ping that is not answered yet.
    ping_sent: Option<clock::Instant>,
}

impl Timer {
    pub fn new(options: &options::Options, now: clock::Instant) -> Self {
        Self {
            ping_delay: options.ping_delay,
            ping_timeout: options.ping_timeout,
            keepalive_interval: options.keepalive_interval,
            idle_timeout: options.idle_timeout,
            last_answer: now,
            last_call: now,
            ping_sent: None,
        }
    }

    /// Records a call; `has_calls` states whether others were pending before it.
    pub fn record_call(&mut self, now: clock::Instant, has_calls: bool) {
        self.last_call = now;
        if !has_calls {
            self.last_answer = now;
        }
    }

    /// Records a ping.
    pub fn record_ping(&mut self, now: clock::Instant) {
        self.ping_sent = Some(now);
    }

    /// Records an answer to any call.
    pub fn record_answer(&mut self, now: clock::Instant) {
        self.last_answer = now;
        self.ping_sent = None;
    }

    /// Returns when the timer fires next.
    pub fn deadline(&self, has_calls: bool, has_grants: bool) -> clock::Instant {
        if let Some(sent) = self.ping_sent {
            return sent + self.ping_timeout;
        }
        if has_calls {
            return self.last_answer + self.ping_delay;
        }
        let keepalive = self.last_answer + self.keepalive_interval;
        if has_grants {
            return keepalive;
        }
        keepalive.min(self.last_call + self.idle_timeout)
    }

    /// Returns the action that is due.
    pub fn due(&mut self, now: clock::Instant, has_calls: bool, has_grants: bool) -> Due {
        let deadline = self.deadline(has_calls, has_grants);
        if now < deadline {
            return Due::Nothing;
        }
        if now - deadline > LATENESS_MAX {
            // This process was paused: answers may wait unread in the socket, so
            // the time-outs start anew.
            self.last_answer = now;
            self.ping_sent = self.ping_sent.map(|_| now);
            return Due::Nothing;
        }
        if self.ping_sent.is_some() {
            return Due::Unresponsive;
        }
        if !has_calls && !has_grants && now >= self.last_call + self.idle_timeout {
            return Due::Idle;
        }
        Due::Ping
    }
}

/// Lateness of the timer above which the process must have been paused.
const LATENESS_MAX: time::Duration = time::Duration::from_millis(500);
