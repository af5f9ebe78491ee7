//! Membership, configuration versions and discovery.

mod digest;
mod entry;

pub use digest::Digest;
pub use entry::{Entry, Phase};
