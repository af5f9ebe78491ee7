use std::fmt;

/// Whether the work behind a refused request ran.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The work did not run and cannot run later.
    NotRun,
    /// The work ran to completion.
    Ran,
    /// The work may have run, may be running or may run later.
    Unknown,
}

impl RunState {
    /// Returns the name used in responses and logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
