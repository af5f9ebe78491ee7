/// What applies when a key is absent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Presence {
    /// The key must be given.
    Required,
    /// This value applies.
    Default(&'static str),
    /// The setting is off, or its list is empty. An empty value means the same.
    Optional,
}
