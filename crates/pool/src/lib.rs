//! One shard of a pool: the queue and the endpoints that serve it.
//!
//! A home host keeps one [`Policy`] per shard. The policy does no I/O and
//! reads no clock: each input carries the time, and decisions come back as
//! [`Action`]s.

mod action;
mod admit;
pub mod baseline;
mod boxed;
mod class;
pub mod current;
mod dispatch;
mod endpoint;
mod finish;
mod live;
mod load;
mod options;
mod policy;
mod request;
mod running;
mod stats;

pub use action::Action;
pub use baseline::Baseline;
pub use class::Class;
pub use current::Current;
pub use endpoint::{Endpoint, EndpointId, Phase};
pub use finish::{Finish, Outcome};
pub use load::Load;
pub use options::Options;
pub use policy::Policy;
pub use request::{Request, RequestId};
pub use stats::Stats;
