//! Settings of the router in crate `host`: INI files, schema, merge and check.
//!
//! [`load()`] parses, merges and checks files; it returns a [`Configuration`]
//! with the [`Settings`], or every problem at once. Its result depends only on the
//! names and texts of the files. The table [`schema::SECTIONS`] is the single
//! source for parsing, range checks, hints and the settings reference.
//!
//! Crate `class` resolves the class, the targets and the deadline of a request
//! from these settings. The routes and services of crate `plan` are a separate
//! configuration.

mod build;
mod check;
mod configuration;
mod entry;
mod file;
pub mod folder;
mod group;
mod header;
mod hint;
mod load;
mod merge;
mod origin;
mod problem;
mod reference;
mod render;
pub mod schema;
pub mod settings;
mod statement;
mod unit;
mod value;

pub use configuration::Configuration;
pub use entry::Entry;
pub use file::File;
pub use load::load;
pub use origin::Origin;
pub use problem::Problem;
pub use reference::reference;
pub use render::render;
pub use settings::Settings;
