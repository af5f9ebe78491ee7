/// Meaning of an absent key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Presence {
    /// The absence is a problem.
    Required,
    /// This value applies, parsed like a value in a file.
    Default(&'static str),
    /// The setting is off or its list is empty; an empty value means the same.
    Optional,
}
