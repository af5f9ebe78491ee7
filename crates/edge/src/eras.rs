use core::time;

/// Time for which the platform may stand by an older configuration before the one
/// that it lost is given up. The operator writes lost changes again, mostly within
/// seconds.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(10);

/// What the platform had when this host first read it in an era.
#[derive(Debug)]
struct Copy {
    /// Platform revision of the configuration.
    revision: u64,
    /// When it was read.
    since: time::Duration,
    /// The configuration that was read last.
    plan: plan::Plan,
}

/// Assigns configurations that are read from the platform to eras.
///
/// After a restore the platform holds an older copy. What a host finds there counts
/// for the last settled era, so that it does not replace a newer configuration which
/// the platform has lost. A host that knows of no era counts it for era 0, below what
/// any other host has settled. It counts for the new era once the platform has stood by it
/// for the settle time, once another host has settled the era, or if it was written
/// after the first read.
#[derive(Debug, Default)]
pub struct Eras {
    /// Newest era that is known; `None` before the first contact.
    current: Option<u64>,
    /// Newest era to which configurations are assigned.
    settled: u64,
    /// The copy, until the current era is settled.
    copy: Option<Copy>,
}

impl Eras {
    /// Returns the newest era that is known.
    pub fn current(&self) -> u64 {
        self.current.unwrap_or(0)
    }

    /// Assigns a configuration that the platform holds at `item`, the version of
    /// its last change there. Returns `None` for a late answer of an earlier era.
    pub fn read(
        &mut self,
        now: time::Duration,
        mut plan: plan::Plan,
        item: plan::Version,
    ) -> Option<plan::Plan> {
        if item.era < self.current() {
            return None;
        }
        if self.current != Some(item.era) {
            self.current = Some(item.era);
            self.copy = None;
        }
        if self.settled < item.era {
            let (revision, since) = match &self.copy {
                Some(copy) => (copy.revision, copy.since),
                None => (item.revision, now),
            };
            if item.revision > revision || now >= since + SETTLE_TIME {
                self.settle(item.era);
            } else {
                self.copy = Some(Copy {
                    revision,
                    since,
                    plan: plan.clone(),
                });
            }
        }
        plan.era = self.settled;
        Some(plan)
    }

    /// Records that the platform still holds what was read last. Returns the
    /// configuration if it counts for the current era from now on.
    pub fn confirm(&mut self, now: time::Duration, era: u64) -> Option<plan::Plan> {
        let copy = self.copy.take_if(|copy| now >= copy.since + SETTLE_TIME)?;
        if self.current != Some(era) {
            return None;
        }
        self.settle(era);
        Some(plan::Plan { era, ..copy.plan })
    }

    /// Records the version that another host has in force. If its era is the current
    /// one, that settles it. Returns the configuration that this host has read in the
    /// current era if it is newer.
    pub fn learn(&mut self, version: plan::Version) -> Option<plan::Plan> {
        if version.era <= self.settled {
            return None;
        }
        if version.era > self.current() {
            self.copy = None;
        }
        let newer = self.copy.as_ref().map(|copy| &copy.plan);
        let newer = newer
            .filter(|plan| plan.revision > version.revision)
            .map(|plan| plan::Plan {
                era: version.era,
                ..plan.clone()
            });
        if version.era >= self.current() {
            self.current = Some(version.era);
            self.settle(version.era);
        } else {
            self.settled = version.era;
        }
        newer
    }

    fn settle(&mut self, era: u64) {
        self.settled = era;
        self.copy = None;
    }
}
