use core::time;

use rand::RngExt;

/// Delay of a host whose call failed for the first time.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(150);

/// Most times that the delay is doubled after further failures.
const DOUBLINGS_MAX: u32 = 2;

/// Mean time between two calls of all hosts together that read the platform only
/// because nobody else seems to.
const STANDBY_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Why a host reads the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// It reads for the others.
    Watcher,
    /// It has no state yet and cannot serve callers.
    Starting,
    /// It has not heard lately that a watcher was answered.
    Standby,
    /// It takes the state from other hosts and does not read.
    Follower,
}

/// When a host may call the platform next.
///
/// The platform limits the calls of all hosts together, so the calls of a fleet
/// that waits for the platform to return must not grow with the fleet.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    failures: u32,
}

impl Pace {
    /// Records that a call was answered.
    pub const fn record_answer(&mut self) {
        self.failures = 0;
    }

    /// Records that a call failed and returns the delay of the next one. `hosts` is
    /// the number of live hosts.
    pub fn retry_delay(
        &mut self,
        role: Role,
        hosts: usize,
        rng: &mut impl rand::Rng,
    ) -> time::Duration {
        let doublings = self.failures.min(DOUBLINGS_MAX);
        self.failures = self.failures.saturating_add(1);
        let mean = base(role, hosts) * 2u32.pow(doublings);
        mean.mul_f64(rng.random_range(0.5..1.5))
    }

    /// Returns the delay before the first call of a host that begins to read for
    /// this reason. `hosts` is the number of hosts that hear each other, and `random`, from
    /// 0 to 1, is drawn by each of them.
    pub fn first_delay(role: Role, hosts: usize, random: f64) -> time::Duration {
        match role {
            Role::Standby => base(role, hosts).mul_f64(random),
            Role::Watcher | Role::Starting | Role::Follower => time::Duration::ZERO,
        }
    }
}

/// Returns the time over which standby hosts spread their calls.
pub(crate) fn standby_spread(hosts: usize) -> time::Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    STANDBY_INTERVAL.saturating_mul(hosts).max(RETRY_DELAY)
}

fn base(role: Role, hosts: usize) -> time::Duration {
    match role {
        Role::Standby => standby_spread(hosts),
        Role::Watcher | Role::Starting | Role::Follower => RETRY_DELAY,
    }
}
