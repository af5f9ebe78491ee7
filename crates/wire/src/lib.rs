//! Messages between hosts: structs, encoding in Cap'n Proto, limits and signatures.
//!
//! Each message is a plain struct with an encoder and a decoder that enforce the
//! bounds in [`limit`]. Decoding never panics, whatever the bytes. The schema is
//! `schema/peer.capnp`; `schema/generate` creates the code in `src/generated`.
//!
//! - [`Packet`] is a signed datagram with the membership of crate `fleet` or a claim
//!   of crate `once`.
//! - [`Hello`], [`Welcome`] and [`Proof`] are the handshake of a link, in this order.
//! - [`Ask`] requests a slot at an endpoint from the home host of a shard, which
//!   answers with a [`Reply`]; [`Done`] reports the end of a granted ask.
//! - [`Run`] forwards a non-idempotent request to the owner of its idempotency key,
//!   which answers with an [`Outcome`].
//! - [`Fetch`] requests configuration files, and [`Files`] is the answer.
//! - [`Crash`] reports a request that was in flight when an endpoint crashed.
//!
//! Crate `peer` sends and receives the messages. Loads and snapshots that the hosts of
//! crate `edge` exchange are defined there, in another encoding.
//!
//! Words that other crates use for other things: [`Finish`] corresponds to
//! `pool::Outcome`, and [`Outcome`] here is the outcome of a forwarded run;
//! [`Request`] and [`Answer`] are whole HTTP messages.

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
