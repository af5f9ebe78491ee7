//! Seeded open-loop load: when which request is sent, and what came back.

mod call;
mod events;
mod outcome;
mod record;

pub use call::Call;
pub use events::Events;
pub use outcome::Outcome;
pub use record::Record;
