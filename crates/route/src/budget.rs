/// Retry budget of one class.
///
/// It starts with one retry, so that one dead endpoint does not cost the first
/// request of a class its answer. The first fresh requests pay this retry back:
/// after ten of them, retries are never more than a tenth.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Saved retries in units of [`PART`].
    parts: u32,
    /// What is left to pay back of the first retry.
    owed: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            parts: PART,
            owed: PART,
        }
    }
}

impl Budget {
    /// Notes that a fresh request was sent to an endpoint.
    pub fn deposit(&mut self) {
        if self.owed > 0 {
            self.owed -= 1;
            return;
        }
        self.parts = (self.parts + 1).min(PARTS_MAX);
    }

    /// Takes back what a fresh request earned that was not sent after all.
    pub const fn cancel_deposit(&mut self) {
        self.parts = self.parts.saturating_sub(1);
    }

    /// Takes one retry; returns whether there was one.
    pub const fn withdraw(&mut self) -> bool {
        match self.parts.checked_sub(PART) {
            Some(rest) => {
                self.parts = rest;
                true
            }
            None => false,
        }
    }

    /// Gives back a retry that was not sent.
    pub fn refund(&mut self) {
        self.parts = (self.parts + PART).min(PARTS_MAX);
    }
}

/// Fresh requests that earn one retry.
const PART: u32 = 10;

/// Upper bound of saved retries, in units of [`PART`].
const PARTS_MAX: u32 = 10 * PART;
