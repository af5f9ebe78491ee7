//! Intervals between a change at the platform and its effect at every host.
//!
//! A bound on that time is kept whatever happens to the hosts that read the platform,
//! because each host measures the age of its state: the time since the platform last
//! confirmed it, to this host or to another one. From [`Intervals::age_max`] on, the host
//! reads the platform itself, after a delay by which the hosts that hear each other spread
//! their calls ([`Pace::first_delay`](crate::Pace::first_delay)). The first one of them that
//! is answered publishes what it read.

use core::fmt;
use core::time;

use crate::pace;

/// Answer of a platform that is not overloaded, connection included.
const ANSWER: time::Duration = time::Duration::from_millis(200);

/// Time until the first of the standby hosts that hear each other has called. If each
/// draws its delay, the first of them exceeds it once in 20,000 times.
const FIRST_CALL: time::Duration = time::Duration::from_millis(200);

/// Time until the others have the state of a host that has read it.
const PUBLICATION: time::Duration = time::Duration::from_millis(250);

/// Time in which a host that has read a change handles requests by it.
const EFFECT: time::Duration = time::Duration::from_millis(50);

/// Least time by which a call may exceed the wait of a watch. A slow platform takes some
/// hundred milliseconds.
const CALL_MIN: time::Duration = time::Duration::from_millis(400);

/// Time by which a call may exceed the wait of a watch if the bounds leave room.
const CALL_MAX: time::Duration = time::Duration::from_millis(900);

/// Shortest wait of a watch. The platform charges for each call.
const WATCH_MIN: time::Duration = time::Duration::from_millis(250);

/// Longest wait of a watch.
const WATCH_MAX: time::Duration = time::Duration::from_millis(2_500);

/// Longest pause after an answer with changes.
const PAUSE: time::Duration = time::Duration::from_millis(300);

/// Largest random part of the wait of a watch.
const WATCH_JITTER: f64 = 0.2;

/// Times that the rules of a platform allow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Time from a change until no host may act on the state before it.
    pub change: time::Duration,
    /// Time for which the bound of a change does not hold after connections of all
    /// hosts stopped carrying data without being closed.
    pub silence: time::Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            change: time::Duration::from_secs(2),
            silence: time::Duration::from_secs(3),
        }
    }
}

/// The fleet as far as intervals depend on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fleet {
    /// Number of live hosts, this one included.
    pub hosts: usize,
    /// Period at which a host publishes the age of its state.
    pub publish_period: time::Duration,
}

/// Intervals of the hosts that follow the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Intervals {
    /// Age of the state from which a host reads the platform itself.
    pub age_max: time::Duration,
    /// Time from that age until the first call whose result this host learns: its own,
    /// or that of another host.
    pub standby: time::Duration,
    /// Longest wait of a watch.
    pub watch: time::Duration,
    /// Time-out of a call, in addition to the wait of a watch.
    pub call: time::Duration,
    /// Pause between an answer with changes of the endpoints and the next watch, so that
    /// one call reads the changes that follow shortly.
    pub pause: time::Duration,
}

/// Steps between an event and its effect, whose sum has to stay within a bound.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chain {
    /// What the chain begins with.
    pub name: &'static str,
    /// Longest duration of each step, with its name.
    pub steps: Vec<(&'static str, time::Duration)>,
    /// What the sum may be.
    pub bound: time::Duration,
}

impl Chain {
    /// Returns the longest time from the event to its effect.
    pub fn sum(&self) -> time::Duration {
        self.steps.iter().map(|(_, length)| *length).sum()
    }

    /// Returns whether the bound is kept.
    pub fn is_kept(&self) -> bool {
        self.sum() <= self.bound
    }
}

impl fmt::Display for Chain {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.name)?;
        for (name, length) in &self.steps {
            write!(formatter, ", {name} {} ms", length.as_millis())?;
        }
        write!(formatter, ", in all {} ms", self.sum().as_millis())
    }
}

impl Intervals {
    /// Returns the intervals that keep these bounds. If the bounds are too narrow, they
    /// are the shortest ones; see [`Intervals::chains`].
    pub fn new(bounds: Bounds, fleet: Fleet) -> Self {
        let pause = PAUSE.min(bounds.change / 8);
        let standby = pace::standby_spread(fleet.hosts).min(FIRST_CALL + PUBLICATION);
        let age_max = bounds.change.saturating_sub(standby + ANSWER + EFFECT);
        let by_age = age_max.saturating_sub(ANSWER + fleet.publish_period);
        let by_silence = bounds
            .silence
            .saturating_sub(pause + CALL_MAX + ANSWER + EFFECT);
        let watch = by_age.min(by_silence).clamp(WATCH_MIN, WATCH_MAX);
        let call = bounds
            .silence
            .saturating_sub(pause + watch + ANSWER + EFFECT)
            .clamp(CALL_MIN, CALL_MAX);
        Self {
            age_max,
            standby,
            watch,
            call,
            pause,
        }
    }

    /// Returns the wait of the next watch: shorter after a pause, and random, so that
    /// hosts whose watches a change has ended at once do not wait in step from then on.
    pub fn watch_wait(&self, has_paused: bool, random: f64) -> time::Duration {
        let watch = match has_paused {
            true => self.watch.saturating_sub(self.pause),
            false => self.watch,
        };
        watch.mul_f64(1.0 - WATCH_JITTER * random.clamp(0.0, 1.0))
    }

    /// Returns the chains whose sums have to stay within the bounds.
    pub fn chains(&self, bounds: Bounds) -> Vec<Chain> {
        let read = [("answer", ANSWER), ("effect", EFFECT)];
        let confirmations_end = [
            ("age of the state", self.age_max),
            ("standby", self.standby),
        ];
        let connection_silent = [
            ("pause", self.pause),
            ("watch", self.watch),
            ("call", self.call),
        ];
        let change_read = [("pause", self.pause)];
        let chain = |name, first: &[_], bound| Chain {
            name,
            steps: [first, &read].concat(),
            bound,
        };
        vec![
            chain("change", &change_read, bounds.change),
            chain(
                "end of all confirmations",
                &confirmations_end,
                bounds.change,
            ),
            chain("silent connections", &connection_silent, bounds.silence),
        ]
    }
}
