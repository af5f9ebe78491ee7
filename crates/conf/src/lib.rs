//! Settings of the router: INI files, schema, merge and check.

pub mod settings;

pub use settings::Settings;
