use crate::choose;
use crate::estimate;
use crate::gate;
use crate::key;

/// Receives the steps of a decision. The empty implementation for `()` has no cost.
pub(crate) trait Trace {
    /// An endpoint of the service may be sent to, or not.
    fn gate(&mut self, _key: key::Key, _gate: gate::Gate) {}

    /// The team of the request uses much more than its equal share, or not.
    fn team(&mut self, _is_over: bool) {}

    /// A comparison begins, among all endpoints or a sample. Figures of an earlier one
    /// no longer count, because it admitted no endpoint.
    fn compare(&mut self, _is_sampled: bool) {}

    /// An endpoint was weighed.
    fn weigh(&mut self, _candidate: &choose::Candidate, _costs: &Costs) {}
}

impl Trace for () {}

/// Terms of the cost of an endpoint for a request, in milliseconds. The lowest sum wins.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Costs {
    /// Expected time to the first event and what the request costs others.
    pub terms: estimate::Terms,
    /// Shared parts that are not in the prefix cache, beyond the time to process them.
    pub cache_miss: f64,
    /// Work on an engine that is reserved for the other kind.
    pub mix: f64,
    /// Slots in use beyond half of them.
    pub contention: f64,
    /// A bulk prompt outside its ranking.
    pub unranked: f64,
    /// No room in the slots or the KV cache.
    pub no_room: f64,
    /// Failures and refusals of the endpoint.
    pub fault: f64,
    /// Random part, so that hosts with the same data choose differently.
    pub jitter: f64,
}

impl Costs {
    /// Returns the sum by which endpoints are compared.
    pub const fn sum(&self) -> f64 {
        self.terms.cost()
            + self.cache_miss
            + self.mix
            + self.contention
            + self.unranked
            + self.no_room
            + self.fault
            + self.jitter
    }
}
