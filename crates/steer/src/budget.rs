use core::time;

/// Seconds that are remembered: twice the longest window.
const SECONDS: usize = 64;

/// What one host may use of a bound that all hosts share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Repeats for each first request.
    pub ratio: f64,
    /// Repeats in a window beside those that requests earn.
    pub slack: f64,
    /// Length of the window in seconds.
    pub window_s: u64,
}

/// Counts of one second.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// Bounds the repeats of one service within a sliding window.
#[derive(Clone, Debug)]
pub struct Budget {
    seconds: [Second; SECONDS],
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            seconds: [Second::default(); SECONDS],
        }
    }
}

impl Budget {
    /// Notes a request of a caller.
    pub fn deposit(&mut self, now: time::Duration) {
        self.second(now).requests += 1;
    }

    /// Takes one repeat; returns whether there was one.
    pub fn try_withdraw(&mut self, now: time::Duration, share: Allowance) -> bool {
        if self.balance(now, share) < 1.0 {
            return false;
        }
        self.second(now).repeats += 1;
        true
    }

    /// Returns the repeats that are left.
    pub fn balance(&self, now: time::Duration, share: Allowance) -> f64 {
        let window = share.window_s.min(SECONDS as u64 / 2);
        let last = now.as_secs();
        let requests = self.sum(last, window, |second| second.requests);
        let before = self.sum(last.saturating_sub(window), window, |second| {
            second.requests
        });
        let spent = self.sum(last, window + 1, |second| second.repeats);
        share.ratio * f64::from(requests.max(before)) + share.slack - f64::from(spent)
    }

    fn sum(&self, last: u64, window: u64, count: impl Fn(&Second) -> u32) -> u32 {
        self.seconds
            .iter()
            .filter(|second| second.number <= last && second.number + window > last)
            .map(count)
            .sum()
    }

    fn second(&mut self, now: time::Duration) -> &mut Second {
        let number = now.as_secs();
        // CAST: The remainder is below the length of the array.
        let second = &mut self.seconds[(number % SECONDS as u64) as usize];
        if second.number != number {
            *second = Second {
                number,
                ..Second::default()
            };
        }
        second
    }
}
