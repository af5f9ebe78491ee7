//! What hosts send to endpoints that have just started and fail at the usual rate.
//!
//! All hosts together keep a bound on the requests in any second. A few hosts share a
//! cold endpoint, in an order that all of them derive; the others leave it alone. Each
//! leaves a gap between two requests, so that no burst exceeds its share.

use core::time;

/// Time after the end in which hosts begin one after the other to send as usual.
const RAMP_TIME: time::Duration = time::Duration::from_secs(1);

/// Time without a failed connection after which an endpoint that was lost is tried by
/// any host, in case those that share it have no requests for it.
const LOST_TIME: time::Duration = time::Duration::from_secs(5);

/// Time for which the end of the state is published, if it was stated.
const ENDED_TIME: time::Duration = time::Duration::from_secs(10);

/// Change of the end by which a statement differs from the known one. Answers state it
/// again and again.
const SAME_END: time::Duration = time::Duration::from_millis(200);

/// From where it is known that an endpoint is cold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Source {
    /// Its entry says so.
    #[default]
    Entry,
    /// An answer says so.
    Answer,
    /// It appeared in the list while this host was running.
    Appeared,
    /// This host has started and knows neither its state nor that it is old.
    Started,
    /// It was reached again after it could not be.
    Returned,
    /// The evacuation of its data centre has ended.
    Evacuation,
    /// Another host has said so.
    Peer,
}

impl Source {
    /// Returns the name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Answer => "answer",
            Self::Appeared => "appeared",
            Self::Started => "started",
            Self::Returned => "returned",
            Self::Evacuation => "evacuation",
            Self::Peer => "peer",
        }
    }
}

/// State of an endpoint in the form that hosts publish.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Summary {
    /// Hash of the endpoint's id.
    pub tag: u32,
    /// When its process started, in Unix milliseconds.
    pub started_ms: u64,
    /// Time for which it stays cold, in milliseconds; `None` if it cannot be reached and
    /// is cold once it can.
    pub left_ms: Option<u32>,
    /// Time since this was found, in milliseconds.
    pub age_ms: u32,
}

/// A cold endpoint, for logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Known {
    /// Id of the endpoint.
    pub id: String,
    /// From where it is known.
    pub source: Source,
    /// Time since it was found.
    pub age: time::Duration,
    /// Time for which it stays cold.
    pub left: time::Duration,
}

/// What the entry of an endpoint says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stated {
    /// When this host read it.
    pub at: time::Duration,
    /// Until when the endpoint is cold; not after `at` if it is not.
    pub until: time::Duration,
}

/// What is known of an endpoint that a list names for the first time.
#[derive(Clone, Copy, Debug)]
pub struct Listed {
    /// What its entry says of the state.
    pub stated: Option<Stated>,
    /// Time since its process started.
    pub uptime: Option<time::Duration>,
    /// Whether it is the first list of this host.
    pub is_first: bool,
}

/// The part of a host in the requests to a cold endpoint.
#[derive(Clone, Copy, Debug, serde::Deserialize, serde::Serialize)]
pub(crate) struct Share {
    /// Place among the live hosts in the order in which they take the endpoint.
    pub(crate) position: usize,
    /// Number of live hosts.
    pub(crate) hosts: usize,
    /// Number of hosts that share the endpoint.
    pub(crate) sharing: usize,
    /// Time between two requests of one host.
    pub(crate) gap: time::Duration,
}

/// What one host knows of an endpoint that may be cold, and sends to it.
#[derive(Clone, Copy, Debug, Default, serde::Deserialize, serde::Serialize)]
pub(crate) struct Cold {
    pub(crate) until: Option<time::Duration>,
    /// When the newest statement was made, also one that it is not cold.
    pub(crate) stated_at: Option<time::Duration>,
    pub(crate) source: Source,
    /// When a connection failed last, until one is established.
    pub(crate) lost_at: Option<time::Duration>,
    /// Absent if this host must not send to the endpoint while it is cold.
    share: Option<Share>,
    /// When it was last chosen.
    chosen_at: Option<time::Duration>,
    /// When a request was last sent, and the time before.
    sent_at: [Option<time::Duration>; 2],
}

impl Cold {
    /// Returns whether the state matters for requests or messages now.
    pub(crate) fn is_relevant(&self, now: time::Duration) -> bool {
        let until = self.until.map(|until| until + RAMP_TIME);
        let lost = self.lost_at.map(|at| at + LOST_TIME);
        until.max(lost).is_some_and(|end| now < end)
    }

    /// Returns whether requests are bounded: it is cold, or will be once it is reached.
    pub(crate) fn is_bounded(&self, now: time::Duration) -> bool {
        self.left(now) > time::Duration::ZERO || self.is_lost(now)
    }

    pub(crate) fn left(&self, now: time::Duration) -> time::Duration {
        self.until.unwrap_or_default().saturating_sub(now)
    }

    pub(crate) fn is_lost(&self, now: time::Duration) -> bool {
        self.lost_at.is_some_and(|at| now < at + LOST_TIME)
    }

    /// Applies a statement that was made at `at` unless a newer one is known; returns
    /// whether the end has changed.
    pub(crate) fn state(
        &mut self,
        at: time::Duration,
        until: time::Duration,
        source: Source,
    ) -> bool {
        if self.stated_at.is_some_and(|known| at < known) {
            return false;
        }
        let known = self.until.unwrap_or_default();
        let has_changed = until.abs_diff(known.max(at)) > SAME_END;
        if has_changed {
            self.source = source;
        }
        if has_changed || until < known {
            self.until = Some(until);
        }
        self.stated_at = Some(at);
        if self.lost_at.is_some_and(|lost| lost <= at) {
            self.lost_at = None;
        }
        has_changed
    }

    pub(crate) const fn set_share(&mut self, share: Option<Share>) {
        self.share = share;
    }

    /// Returns the time until a request may be chosen for the endpoint, zero for now and
    /// `None` if this host leaves it to others.
    pub(crate) fn choice_wait(&self, now: time::Duration) -> Option<time::Duration> {
        self.wait(now, self.chosen_at.max(self.sent_at[0]))
    }

    /// Returns the time until a request may be sent, as for a choice.
    pub(crate) fn send_wait(&self, now: time::Duration) -> Option<time::Duration> {
        self.wait(now, self.sent_at[0])
    }

    fn wait(&self, now: time::Duration, last: Option<time::Duration>) -> Option<time::Duration> {
        if !self.is_relevant(now) {
            return Some(time::Duration::ZERO);
        }
        let is_bounded = self.is_bounded(now);
        let progress = match self.until {
            Some(until) if !is_bounded => {
                let since = now.saturating_sub(until);
                (since.as_secs_f64() / RAMP_TIME.as_secs_f64()).min(1.0)
            }
            _ => 0.0,
        };
        let share = self.share?;
        if share.position >= share.sharing {
            let others = share.hosts.saturating_sub(share.sharing).max(1) as f64;
            let place = (share.position - share.sharing + 1) as f64;
            if is_bounded || progress < place / others {
                return None;
            }
        }
        let gap = share.gap.mul_f64(1.0 - progress);
        let next = last.map_or(time::Duration::ZERO, |last| last + gap);
        Some(next.saturating_sub(now))
    }

    /// Records that the endpoint is chosen.
    pub(crate) fn choose(&mut self, now: time::Duration) {
        if self.is_relevant(now) {
            self.chosen_at = Some(now);
        }
    }

    pub(crate) fn send(&mut self, now: time::Duration) {
        self.sent_at = [Some(now), self.sent_at[0]];
    }

    /// Takes the last request back, of which nothing was sent.
    pub(crate) fn withdraw(&mut self) {
        self.sent_at = [self.sent_at[1], None];
    }

    pub(crate) fn summary(
        &self,
        now: time::Duration,
        tag: u32,
        started_ms: u64,
    ) -> Option<Summary> {
        let ms = |time: time::Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let summary = |left_ms, at| Summary {
            tag,
            started_ms,
            left_ms,
            age_ms: ms(now.saturating_sub(at)),
        };
        if let Some(at) = self.lost_at.filter(|_| self.is_lost(now)) {
            return Some(summary(None, at));
        }
        let at = self.stated_at?;
        let left = self.left(now);
        let is_current = !left.is_zero() || now < at + ENDED_TIME;
        is_current.then(|| summary(Some(ms(left)), at))
    }
}
