use core::time;

/// Number of one-second buckets: twice the longest window.
const SECONDS: usize = 64;

/// Retries that one host may send to a service: its part of the bound for all
/// hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Retries per first attempt.
    pub ratio: f64,
    /// Retries per window in addition to those that `ratio` allows.
    pub slack: f64,
    /// Length of the window in seconds; at most 32, longer ones are cut.
    pub window_s: u64,
}

/// Counts of one second since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Retry budget of one service over a sliding window.
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
    /// Records the first attempt of a request, which raises the balance.
    pub fn deposit(&mut self, now: time::Duration) {
        self.second(now).requests += 1;
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    pub fn try_withdraw(&mut self, now: time::Duration, allowance: Allowance) -> bool {
        if self.balance(now, allowance) < 1.0 {
            return false;
        }
        self.second(now).retries += 1;
        true
    }

    /// Returns the retries that are left. The result is negative if more were
    /// withdrawn than the present window allows.
    pub fn balance(&self, now: time::Duration, allowance: Allowance) -> f64 {
        let window = allowance.window_s.min(SECONDS as u64 / 2);
        let last = now.as_secs();
        let requests = self.sum(last, window, |second| second.requests);
        let previous = self.sum(last.saturating_sub(window), window, |second| {
            second.requests
        });
        let spent = self.sum(last, window + 1, |second| second.retries);
        allowance.ratio * f64::from(requests.max(previous)) + allowance.slack - f64::from(spent)
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
