/// Retry budget of one class.
///
/// Ten fresh requests pay for one retry. The budget starts with one retry, so that
/// one failed endpoint does not fail the first request of a class. The first ten
/// fresh requests repay it; from then on, retries are at most a tenth of the fresh
/// requests.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Saved deposits, of which [`DEPOSITS_PER_RETRY`] pay for one retry.
    deposits: u32,
    /// Deposits that are still needed to repay the initial retry.
    owed: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            deposits: DEPOSITS_PER_RETRY,
            owed: DEPOSITS_PER_RETRY,
        }
    }
}

impl Budget {
    /// Adds the deposit of a fresh request that was sent to an endpoint.
    pub fn deposit(&mut self) {
        if self.owed > 0 {
            self.owed -= 1;
            return;
        }
        self.deposits = (self.deposits + 1).min(DEPOSITS_MAX);
    }

    /// Reverses a deposit, if any is saved, for a fresh request that was not sent
    /// after all.
    pub const fn cancel_deposit(&mut self) {
        self.deposits = self.deposits.saturating_sub(1);
    }

    /// Takes one retry from the budget; returns `false` if there is none.
    pub const fn withdraw(&mut self) -> bool {
        match self.deposits.checked_sub(DEPOSITS_PER_RETRY) {
            Some(rest) => {
                self.deposits = rest;
                true
            }
            None => false,
        }
    }

    /// Returns a retry that was not sent to the budget.
    pub fn refund(&mut self) {
        self.deposits = (self.deposits + DEPOSITS_PER_RETRY).min(DEPOSITS_MAX);
    }
}

/// Fresh requests that pay for one retry.
const DEPOSITS_PER_RETRY: u32 = 10;

/// Maximum of the saved deposits: ten retries.
const DEPOSITS_MAX: u32 = 10 * DEPOSITS_PER_RETRY;
