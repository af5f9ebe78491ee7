use core::time;
use tokio::time as clock;

use super::options;

/// What is due on a link when its timer fires.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Due {
    /// Nothing yet.
    Nothing,
    /// A ping.
    Ping,
    /// The link must be given up.
    Silent,
    /// The link may be closed.
    Idle,
}

/// Timer of an open link.
pub struct Pulse {
    ping_after: time::Duration,
    ping_timeout: time::Duration,
    keepalive: time::Duration,
    idle: time::Duration,
    /// Last answer, or the start of the wait for one.
    heard: clock::Instant,
    /// Last call that was not a ping.
    used: clock::Instant,
    pinged: Option<clock::Instant>,
}

impl Pulse {
    /// Returns the timer of a new link.
    pub fn new(options: &options::Options, now: clock::Instant) -> Self {
        Self {
            ping_after: options.ping_delay,
            ping_timeout: options.ping_timeout,
            keepalive: options.keepalive_interval,
            idle: options.idle_timeout,
            heard: now,
            used: now,
            pinged: None,
        }
    }

    /// Notes a call; `waiting` says whether others were open before it.
    pub fn sent(&mut self, now: clock::Instant, waiting: bool) {
        self.used = now;
        if !waiting {
            self.heard = now;
        }
    }

    /// Notes a ping.
    pub fn pinged(&mut self, now: clock::Instant) {
        self.pinged = Some(now);
    }

    /// Notes an answer.
    pub fn heard(&mut self, now: clock::Instant) {
        self.heard = now;
        self.pinged = None;
    }

    /// Returns when the timer fires next. `waiting` says whether calls are open
    /// and `held` whether grants are.
    pub fn next(&self, waiting: bool, held: bool) -> clock::Instant {
        if let Some(pinged) = self.pinged {
            return pinged + self.ping_timeout;
        }
        if waiting {
            return self.heard + self.ping_after;
        }
        let keepalive = self.heard + self.keepalive;
        if held {
            return keepalive;
        }
        keepalive.min(self.used + self.idle)
    }

    /// Returns what is due.
    pub fn due(&mut self, now: clock::Instant, waiting: bool, held: bool) -> Due {
        let at = self.next(waiting, held);
        if now < at {
            return Due::Nothing;
        }
        if now - at > PAUSE {
            // This process was paused: answers may wait unread in the socket.
            self.heard = now;
            self.pinged = self.pinged.map(|_| now);
            return Due::Nothing;
        }
        if self.pinged.is_some() {
            return Due::Silent;
        }
        if !waiting && !held && now >= self.used + self.idle {
            return Due::Idle;
        }
        Due::Ping
    }
}

/// Lateness of the timer that shows that the process was paused.
const PAUSE: time::Duration = time::Duration::from_millis(500);
