//! Build of the engine that wrote a stream, as its events state it.

use std::borrow;

/// Value of the field `system_fingerprint` of an event.
#[derive(serde::Deserialize)]
#[serde(untagged)]
pub(crate) enum Field<'a> {
    #[serde(borrow)]
    Text(borrow::Cow<'a, str>),
    Other(serde::de::IgnoredAny),
}

impl Field<'_> {
    /// Returns the build; `None` if the value does not name one.
    pub(crate) fn build(&self) -> Option<&str> {
        match self {
            Self::Text(text) if !text.is_empty() => Some(text),
            _ => None,
        }
    }
}

/// First event of a run, which arrives in parts.
#[derive(Default)]
pub(crate) struct First {
    data: bytes::BytesMut,
}

/// Maximum size of the data up to the end of the first event.
const FIRST_MAX_BYTES: usize = 64 * 1024;

#[derive(serde::Deserialize)]
struct Event<'a> {
    #[serde(borrow, default)]
    system_fingerprint: Option<Field<'a>>,
}

impl First {
    /// Adds data of the run; returns whether its build is of this value, or `None` if
    /// the first event is not complete yet.
    ///
    /// An event without a build, or above [`FIRST_MAX_BYTES`], is of no build.
    pub(crate) fn push(&mut self, data: &[u8], build: &str) -> Option<bool> {
        self.data.extend_from_slice(data);
        let Some(event) = event(&self.data) else {
            return (self.data.len() > FIRST_MAX_BYTES).then_some(false);
        };
        let event = serde_json::from_slice::<Event<'_>>(event).ok();
        let field = event.and_then(|event| event.system_fingerprint);
        Some(field.as_ref().and_then(Field::build) == Some(build))
    }

    /// Returns all data that was added.
    pub(crate) fn into_data(self) -> bytes::Bytes {
        self.data.freeze()
    }
}

/// Returns the first event whose line is complete.
fn event(data: &[u8]) -> Option<&[u8]> {
    let end = data.iter().rposition(|&byte| byte == b'\n')?;
    let mut lines = data[..end].split(|&byte| byte == b'\n');
    let event = lines.find_map(|line| line.strip_prefix(b"data:"))?;
    Some(event.trim_ascii())
}
