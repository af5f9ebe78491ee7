//! Table of all sections and keys, with their types, ranges and defaults.

mod host;
mod key;
mod kind;
mod model;
mod naming;
mod presence;
mod section;
mod shared;

pub use key::Key;
pub use kind::Kind;
pub use naming::Naming;
pub use presence::Presence;
pub use section::Section;

/// Every section, in the order of the settings reference.
pub const SECTIONS: [&Section; 13] = [
    &host::HOST,
    &host::LIMITS,
    &model::CLASS,
    &model::TEAM,
    &model::ANONYMOUS,
    &model::POOL,
    &model::ENDPOINT,
    &shared::ONCE,
    &shared::FLEET,
    &host::METRICS,
    &host::LOG,
    &host::TLS,
    &host::ADMIN,
];

/// Returns the section with this name; `None` if it is unknown.
pub fn section(name: &str) -> Option<&'static Section> {
    SECTIONS.into_iter().find(|section| section.name == name)
}
