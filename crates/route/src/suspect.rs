use core::time;

/// Crashes of one endpoint while a request was in flight there.
#[derive(Debug)]
struct Evidence {
    endpoint: u64,
    /// Time of the last crash.
    at: time::Duration,
    /// Number of crashes; 0 after a complete run of the request.
    crashes: u32,
}

/// Request that was in flight at a crash.
#[derive(Debug, Default)]
pub(crate) struct Suspect {
    /// Crashes by endpoint, oldest first.
    evidence: Vec<Evidence>,
    /// Time until which the request is refused; `None` if it is not poison.
    pub(crate) poison_until: Option<time::Duration>,
    /// Time from which the request is clear again.
    pub(crate) expires_at: time::Duration,
}

impl Suspect {
    /// Adds a crash of an endpoint; returns whether it counts. It counts for a new
    /// endpoint, and if `is_repeatable` for one that has crashed before, after
    /// the time in which failures are one crash.
    pub(crate) fn add(&mut self, now: time::Duration, endpoint: u64, is_repeatable: bool) -> bool {
        let known = self
            .evidence
            .iter_mut()
            .find(|known| known.endpoint == endpoint);
        match known {
            Some(known) if !is_repeatable || is_same_crash(known.at, now) => return false,
            Some(known) => {
                known.at = now;
                known.crashes += 1;
            }
            None => {
                if self.evidence.len() >= EVIDENCE_MAX {
                    self.evidence.remove(0);
                }
                self.evidence.push(Evidence {
                    endpoint,
                    at: now,
                    crashes: 1,
                });
            }
        }
        true
    }

    /// Returns whether the crashes suffice to refuse the request.
    pub(crate) fn is_convicted(&self) -> bool {
        let crashes: u32 = self.live().map(|evidence| evidence.crashes).sum();
        self.live().count() >= POISON_ENDPOINTS || crashes >= POISON_CRASHES
    }

    /// Discounts the crashes so far. They stay known, so that a late report about
    /// them does not count again.
    pub(crate) fn clear(&mut self) {
        self.poison_until = None;
        for evidence in &mut self.evidence {
            evidence.crashes = 0;
        }
    }

    /// Returns the endpoints whose crashes count, with the time of the last one.
    pub(crate) fn crashes(&self) -> impl Iterator<Item = (u64, time::Duration)> {
        self.live().map(|evidence| (evidence.endpoint, evidence.at))
    }

    fn live(&self) -> impl Iterator<Item = &Evidence> {
        self.evidence.iter().filter(|evidence| evidence.crashes > 0)
    }
}

/// Returns whether failures of an endpoint at these times are one crash.
pub(crate) fn is_same_crash(one: time::Duration, other: time::Duration) -> bool {
    one.abs_diff(other) <= SAME_CRASH_WINDOW
}

/// Number of endpoints whose crashes make a request poison.
const POISON_ENDPOINTS: usize = 2;

/// Crashes of a single endpoint that make a request poison.
const POISON_CRASHES: u32 = 3;

/// Longest time between failures of one endpoint that count as one crash.
const SAME_CRASH_WINDOW: time::Duration = time::Duration::from_secs(2);

/// Maximum number of endpoints that are remembered for a request.
const EVIDENCE_MAX: usize = 8;
