//! Membership, configuration versions and discovery.
//!
//! [`Membership`] spreads and collects what hosts know of each other, [`rank`]
//! orders hosts and divides endpoints into shards, [`Version`] decides which
//! configuration is in force and [`Poller`] who reads it from the platform.
//! Nothing here does I/O or reads a clock: `now` is the monotonic time since
//! the start of the process.

mod action;
mod bucket;
mod comparison;
mod deck;
mod digest;
pub mod discover;
mod entry;
mod gossip;
mod greetings;
mod judge;
mod listed;
mod listing;
mod member;
mod membership;
mod monitor;
mod options;
mod pause;
mod poller;
pub mod rank;
mod state;
mod tombs;
mod version;

pub use action::Action;
pub use comparison::{Comparison, Source};
pub use digest::Digest;
pub use entry::{Entry, Phase};
pub use listed::Listed;
pub use membership::Membership;
pub use options::Options;
pub use poller::Poller;
pub use state::State;
pub use version::{Outcome, Rejection, Version};
