//! Settings by section, after parsing, defaults and checks.

use core::time;

mod admin;
mod all;
mod anonymous;
mod class;
mod endpoint;
mod fencing;
mod fleet;
mod format;
mod host;
mod kind;
mod limits;
mod log;
mod metrics;
mod once;
mod pool;
mod team;
mod tls;

pub use admin::Admin;
pub use all::Settings;
pub use anonymous::Anonymous;
pub use class::Class;
pub use endpoint::Endpoint;
pub use fencing::Fencing;
pub use fleet::Fleet;
pub use format::Format;
pub use host::Host;
pub use kind::Kind;
pub use limits::Limits;
pub use log::Log;
pub use metrics::Metrics;
pub use once::Once;
pub use pool::Pool;
pub use team::Team;
pub use tls::Tls;

/// Maximum deadline of a request, by a class or by the request itself.
pub const DEADLINE_MAX: time::Duration = time::Duration::from_secs(3_600);
