use crate::endpoint;
use crate::key;

/// The endpoints of a service that a request may be sent to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scope<'a> {
    /// Endpoints that are excluded.
    pub tried: &'a [key::Key],
    /// The only build that is allowed; `None` allows all.
    pub build: Option<plan::Build>,
    /// Hash of the team's name; `None` if it is not known.
    pub team: Option<u32>,
}

impl Scope<'_> {
    /// Returns the hash of a team's name.
    pub fn team(name: &str) -> u32 {
        endpoint::tag(name)
    }
}

impl<'a> From<&'a [key::Key]> for Scope<'a> {
    fn from(tried: &'a [key::Key]) -> Self {
        Self {
            tried,
            ..Self::default()
        }
    }
}

impl<'a, const N: usize> From<&'a [key::Key; N]> for Scope<'a> {
    fn from(tried: &'a [key::Key; N]) -> Self {
        Self::from(&tried[..])
    }
}
