//! What this host remembers and counts of its callers' requests.

mod count;
mod end;
mod entry;
mod gaps;
mod metrics;
mod pulse;
mod records;
mod shard;
mod step;
mod tally;
mod trace;

pub(crate) use entry::Entry;
pub(crate) use pulse::pulse;
pub(crate) use records::Records;
pub(crate) use step::Step;
pub(crate) use trace::Trace;
