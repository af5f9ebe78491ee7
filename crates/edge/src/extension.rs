/// Format of the messages between hosts; 0 for builds that do not state it.
const FORMAT: u8 = 1;

/// Fields that follow a message between hosts. Hosts of builds without them ignore
/// the bytes after the message; their own messages have the defaults, an unknown
/// era, which replaces no state of a known one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) struct Extension {
    /// Format of the message and of this extension.
    pub(crate) format: u8,
    /// Era of the configuration.
    pub(crate) plan_era: u64,
    /// Era of the endpoints.
    pub(crate) endpoint_era: u64,
}

impl Extension {
    /// Returns the extension of a message with these versions.
    pub(crate) const fn new(plan: plan::Version, endpoints: plan::Version) -> Self {
        Self {
            format: FORMAT,
            plan_era: plan.era,
            endpoint_era: endpoints.era,
        }
    }

    /// Decodes the extension from the bytes after a message, and returns the bytes
    /// after it. Without bytes it stays as it is.
    ///
    /// # Errors
    ///
    /// Fails if there are bytes and they are malformed.
    pub(crate) fn take<'a>(&mut self, rest: &'a [u8]) -> Result<&'a [u8], postcard::Error> {
        if rest.is_empty() {
            return Ok(rest);
        }
        let (extension, rest) = postcard::take_from_bytes(rest)?;
        *self = extension;
        Ok(rest)
    }
}
