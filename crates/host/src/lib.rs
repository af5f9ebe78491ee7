//! One router host: the parts wired together.

mod clock;
mod flow;
mod host;
mod layout;
mod names;
mod options;
mod outbound;
mod permit;
mod poll;
mod relay;
mod shard;
mod state;

pub use host::Host;
pub use options::{Choice, Options};
