//! Settings of the router: INI files, schema, merge and check.
//!
//! [`load`] turns files into [`Settings`] or reports every problem at once.
//! Its result depends on the names and texts of the files only. The table
//! [`schema::SECTIONS`] is the single source for parsing, range checks, hints
//! and the settings reference.

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
