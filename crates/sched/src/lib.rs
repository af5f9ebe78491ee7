//! Queue with tiers, floors, deadlines and weighted fairness.
//!
//! [`Queue`] orders the requests of one shard. It holds no endpoint and no
//! clock: the owner says which lanes have room and takes one job at a time.
//! Every operation costs a logarithm of the number of queued jobs plus a term
//! that is linear in the number of classes.

mod admission;
mod caller;
mod charge;
mod choose;
mod class;
mod demote;
mod entry;
mod expect;
mod expire;
mod flows;
mod full;
mod group;
mod job;
mod lane;
mod lines;
mod log;
mod meter;
mod options;
mod pick;
mod place;
mod queue;
mod record;
mod tag;
mod team;
mod tier;

pub use admission::Admission;
pub use charge::Charge;
pub use class::Class;
pub use job::Job;
pub use lane::{Lane, Lanes};
pub use meter::Meter;
pub use options::Options;
pub use pick::Pick;
pub use queue::{Key, Queue};
pub use record::{Rank, Reason, Record};
