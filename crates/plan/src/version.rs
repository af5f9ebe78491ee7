use std::fmt;

/// Version of state that is read from the platform: the era, then the revision.
///
/// The platform starts a new era when it is restored from an older copy. Revisions
/// go back then and are given out again, so those of different eras do not compare.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
pub struct Version {
    /// Number of the era; 0 if the platform does not state it.
    pub era: u64,
    /// Revision within the era; 0 before the first one.
    pub revision: u64,
}

impl Version {
    /// Returns a version.
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Returns whether there is any state.
    pub const fn is_some(self) -> bool {
        self.revision > 0
    }
}

impl From<u64> for Version {
    /// Returns the version of a platform that does not state eras.
    fn from(revision: u64) -> Self {
        Self::new(0, revision)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(formatter, "{}", self.revision),
            era => write!(formatter, "{era}.{}", self.revision),
        }
    }
}
