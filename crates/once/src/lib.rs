//! At-most-once execution of non-idempotent requests.
//!
//! [`Ledger`] is the record of one process lifetime. [`key`] mints and
//! verifies keys that name the lifetime that may dispatch. [`Owner`] decides
//! whether this lifetime may dispatch a request with a caller's own key.
//! The argument behind the rules is in `docs/decisions/10-at-most-once.md`.

mod claim;
mod decision;
pub mod key;
mod ledger;
mod options;
mod owner;
mod pause;
mod quorum;
mod rank;
mod request;
mod since;

pub use claim::{Ack, Claim};
pub use decision::Decision;
pub use ledger::Ledger;
pub use options::Options;
pub use owner::Owner;
pub use pause::PAUSE_THRESHOLD;
pub use rank::owner_of;
pub use request::{Fingerprint, Request};
