//! At-most-once execution of non-idempotent requests.
//!
//! A key has two independent guards. The [`Ledger`] deduplicates within one
//! process lifetime: it holds the state and the answer of every key that was
//! admitted. Across lifetimes and hosts, the permit to dispatch comes from one
//! of two sources:
//!
//! - A minted key ([`key`]) names the only lifetime that may dispatch it.
//! - A caller's own key belongs to one of the configured owners by rendezvous
//!   hash ([`owner_of`]). The [`Owner`] dispatches only while it holds a lease
//!   that a quorum of the other owners acknowledges.
//!
//! Membership is the concern of the crate `fleet`: the owners here come from
//! the settings, not from gossip. The argument behind the rules is in
//! `docs/decisions/10-at-most-once.md`.
//!
//! Nothing here does I/O or reads a clock: `now` is the monotonic time since
//! the start of the process.

mod claim;
mod decision;
pub mod key;
mod lease;
mod ledger;
mod options;
mod owner;
mod pause;
mod quorum;
mod rank;
mod request;

pub use claim::{Ack, Claim};
pub use decision::Decision;
pub use ledger::Ledger;
pub use options::Options;
pub use owner::Owner;
pub use pause::PAUSE_THRESHOLD;
pub use rank::owner_of;
pub use request::{Fingerprint, Request};
