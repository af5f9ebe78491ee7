//! Settings of the router: INI files, schema, merge and check.
//!
//! [`load`] turns files into [`Settings`] or reports every problem at once.
//! Its result depends on the names and texts of the files only. The table
//! [`schema::SECTIONS`] is the single source for parsing, range checks, hints
//! and the settings reference.

mod build;
mod check;
mod file;
pub mod folder;
mod group;
mod header;
mod hint;
mod load;
mod merge;
mod origin;
mod outcome;
mod place;
mod print;
mod problem;
mod reference;
pub mod schema;
pub mod settings;
mod statement;
mod unit;
mod value;

pub use file::File;
pub use load::load;
pub use origin::Origin;
pub use outcome::Outcome;
pub use place::Place;
pub use print::print;
pub use problem::Problem;
pub use reference::reference;
pub use settings::Settings;
