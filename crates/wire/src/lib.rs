//! Messages between hosts in Cap'n Proto.
//!
//! Every message is a plain struct with a bounded encoder and decoder. Decoding
//! never panics and reports one closed [`Error`]. The schema is
//! `schema/peer.capnp`; `schema/generate` makes the code in `src/generated`.

#[expect(
    missing_docs,
    clippy::allow_attributes_without_reason,
    reason = "the file is generated from the schema"
)]
#[rustfmt::skip]
#[path = "generated/peer_capnp.rs"]
pub mod peer_capnp;

mod answer;
mod ask;
mod claim;
mod columns;
mod crash;
mod digest;
mod done;
mod error;
mod fetch;
mod field;
mod files;
mod grant;
mod hello;
mod keyring;
pub mod limit;
mod message;
mod outcome;
pub mod pack;
mod packet;
mod proof;
mod refusal;
mod reply;
mod request;
mod run;
mod welcome;

pub use answer::Answer;
pub use ask::Ask;
pub use crash::Crash;
pub use done::{Done, Finish};
pub use error::Error;
pub use fetch::Fetch;
pub use files::Files;
pub use grant::Grant;
pub use hello::Hello;
pub use keyring::Keyring;
pub use message::{Message, decode, encode};
pub use outcome::Outcome;
pub use packet::Packet;
pub use proof::Proof;
pub use refusal::Refusal;
pub use reply::Reply;
pub use request::Request;
pub use run::Run;
pub use welcome::Welcome;
