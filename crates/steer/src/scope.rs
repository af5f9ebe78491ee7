use crate::key;

/// The endpoints of a service that a request may be sent to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scope<'a> {
    /// Endpoints that are excluded.
    pub tried: &'a [key::Key],
    /// The only build that is allowed; `None` allows all.
    pub build: Option<plan::Build>,
}

impl<'a> From<&'a [key::Key]> for Scope<'a> {
    fn from(tried: &'a [key::Key]) -> Self {
        Self { tried, build: None }
    }
}

impl<'a, const N: usize> From<&'a [key::Key; N]> for Scope<'a> {
    fn from(tried: &'a [key::Key; N]) -> Self {
        Self::from(&tried[..])
    }
}
