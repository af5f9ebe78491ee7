//! When hosts publish their loads, and to whom.

use rand::seq::IteratorRandom;

/// Shortest period at which a host publishes its loads, in milliseconds.
const LOAD_PERIOD_MS: u64 = 150;

/// Loads per second that a host receives from its data centre at most.
const LOADS_PER_S: u64 = 80;

/// Hosts of other data centres that get each sum.
const FAR_TARGETS: usize = 2;

/// Form in which a host receives loads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Form {
    /// The loads of the host that publishes them.
    Full,
    /// The sum of its data centre.
    Sum,
}

/// Hosts spread evenly over data centres, which exchange their loads.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Exchange {
    pub(crate) hosts: usize,
    pub(crate) data_centres: usize,
    /// Share of the messages that are lost.
    pub(crate) loss: f64,
}

impl Exchange {
    /// Returns whether the host publishes in this millisecond.
    pub(crate) const fn is_due(&self, now: u64, from: usize) -> bool {
        let near = self.hosts / self.data_centres;
        let period = near as u64 * 1_000 / LOADS_PER_S;
        let period = match period < LOAD_PERIOD_MS {
            true => LOAD_PERIOD_MS,
            false => period,
        };
        let offset = from as u64 * period / self.hosts as u64;
        (now + offset).is_multiple_of(period)
    }

    /// Returns the hosts that a publication reaches; hosts that `is_reached` rejects
    /// get nothing.
    pub(crate) fn recipients(
        &self,
        from: usize,
        is_reached: impl Fn(usize) -> bool,
        rng: &mut impl rand::RngExt,
    ) -> Vec<(usize, Form)> {
        let is_near = |to: usize| to % self.data_centres == from % self.data_centres;
        let far = (0..self.hosts).filter(|to| !is_near(*to));
        let far: Vec<usize> = far.sample(rng, FAR_TARGETS);
        let mut recipients = Vec::new();
        for to in 0..self.hosts {
            if to == from || !is_reached(to) || rng.random_bool(self.loss) {
                continue;
            }
            if is_near(to) {
                recipients.push((to, Form::Full));
            } else if far.contains(&to) {
                recipients.push((to, Form::Sum));
            }
        }
        recipients
    }
}
