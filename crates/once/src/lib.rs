//! At-most-once execution of non-idempotent requests.

mod claim;

pub use claim::{Ack, Claim};
