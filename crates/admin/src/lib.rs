//! Administration API.
//!
//! [`router`] serves `/admin/v1/` over a [`Source`], which the program
//! implements. Reading needs a key of the role [`Role::Read`] or above,
//! changing one of the role [`Role::Operate`]. The file `openapi.json` describes
//! the routes and their answers.

mod class;
mod drain;
mod endpoint;
mod explanation;
mod failure;
mod host;
mod keys;
mod page;
mod request;
mod role;
mod route;
mod router;
mod settings;
mod source;
mod status;
mod team;

pub use class::Class;
pub use drain::{Drain, Drained, Target};
pub use endpoint::{Endpoint, Load};
pub use explanation::{Explanation, Step};
pub use host::Host;
pub use keys::Keys;
pub use request::Request;
pub use role::Role;
pub use route::{Method, Route};
pub use router::router;
pub use settings::{Entry, Settings};
pub use source::Source;
pub use status::{Rejection, Status};
pub use team::Team;
