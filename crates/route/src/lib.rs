//! Endpoint choice, limits, ejection, retries and crash blame.
//!
//! [`Table`] holds the endpoints of one shard and the requests that run on
//! them. [`Budget`], [`Length`], [`Pace`] and [`Blame`] are independent parts
//! that the owner of the table combines with it. Nothing here does I/O or
//! reads a clock; times are durations since the start of the process.

mod blame;
mod budget;
mod choose;
mod endpoint;
mod event;
mod health;
mod history;
mod hot;
mod length;
mod limit;
mod mean;
mod options;
mod pace;
mod report;
mod run;
mod setting;
mod speed;
mod spell;
mod table;
mod verdict;
mod watch;
mod work;

pub use blame::Blame;
pub use budget::Budget;
pub use event::End;
pub use length::Length;
pub use options::Options;
pub use pace::Pace;
pub use report::Report;
pub use run::Key as RunKey;
pub use setting::Setting;
pub use spell::Spell;
pub use table::Table;
pub use verdict::Verdict;
pub use work::{Need, Work};
