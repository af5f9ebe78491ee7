//! One router host: the parts wired together.

mod broker;
mod config;
mod console;
mod flow;
mod forward;
mod gossip;
mod host;
mod inbound;
mod job;
mod keyed;
mod layout;
mod names;
mod options;
mod outbound;
mod permit;
mod platform;
mod poll;
mod reading;
mod record;
mod relay;
mod service;
mod shard;
mod state;
mod stored;
mod terms;
mod transcript;
mod view;

pub use host::Host;
pub use layout::of as shards;
pub use options::{Options, Policy};
