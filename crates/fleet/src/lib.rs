//! Membership of the fleet of hosts, configuration revisions and discovery.
//!
//! - [`Membership`] is the gossip protocol and the failure detector between
//!   hosts.
//! - [`rank`] orders hosts by rendezvous hash and divides endpoints into shards.
//! - [`Version`] decides which configuration revision is in force.
//! - [`freshness`] derives from the bounds of the platform how often it is read.
//! - [`Poller`] decides which hosts read it from the platform, and when.
//! - [`discover`] answers callers that ask which hosts to use.
//!
//! The state of endpoints and their load is the concern of the crates `steer` and
//! `pool`, and the owners of idempotency keys that of `once`.
//!
//! Nothing here does I/O or reads a clock: `now` is the monotonic time since the
//! start of the process.

mod action;
mod bucket;
mod comparison;
mod detection;
mod digest;
pub mod discover;
mod entry;
mod forwarders;
pub mod freshness;
mod gossip;
mod joins;
mod listed;
mod listing;
mod member;
mod membership;
mod monitor;
mod options;
mod pace;
mod pause;
mod poller;
pub mod rank;
mod rotation;
mod state;
mod tombstones;
mod version;
mod watchers;

pub use action::Action;
pub use comparison::{Comparison, Source};
pub use digest::Digest;
pub use entry::{Entry, Phase};
pub use forwarders::{Forwarders, Verdict};
pub use listed::Listed;
pub use membership::Membership;
pub use options::Options;
pub use pace::{Pace, Role};
pub use poller::Poller;
pub use state::State;
pub use version::{Outcome, Rejection, Version};
pub use watchers::Watchers;
