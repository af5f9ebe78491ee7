//! Membership, configuration versions and discovery.
//!
//! [`Membership`] spreads and collects what hosts know of each other, [`rank`]
//! orders hosts and divides endpoints into shards, [`Version`] decides which
//! configuration is in force and [`Watch`] who reads it from the platform.
//! Nothing here does I/O or reads a clock: `now` is the monotonic time since
//! the start of the process.

mod action;
mod bucket;
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
pub mod rank;
mod received;
mod state;
mod tombs;
mod version;
mod watch;

pub use action::Action;
pub use digest::Digest;
pub use entry::{Entry, Phase};
pub use listed::Listed;
pub use membership::Membership;
pub use options::Options;
pub use received::{Notice, Received};
pub use state::State;
pub use version::{Outcome, Refused, Version};
pub use watch::Watch;
