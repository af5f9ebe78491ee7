//! Administration API.
//!
//! [`router`] serves `/admin/v1/` and a read-only page for browsers. The data comes
//! from a [`Source`], which the crate `host` implements; this crate holds no state.
//! Routes that read require a key with the role [`Role::Read`] or above, and routes
//! that change something require [`Role::Operate`]. The file `openapi.json`
//! describes the routes and their responses.
//!
//! The types here are what the API returns as JSON. Types of the same names in
//! other crates, such as `conf::settings::Class` or `pool::Endpoint`, hold the
//! settings or the working state.

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
pub use failure::Failure;
pub use host::Host;
pub use keys::Keys;
pub use request::Request;
pub use role::Role;
pub use route::{Method, Route};
pub use router::{BODY_MAX_BYTES, body_too_large, router};
pub use settings::{Entry, Settings};
pub use source::Source;
pub use status::{Rejection, Status};
pub use team::Team;
