use core::time;

use crate::builds;

/// What a host knows of the build of a stream.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub(crate) struct Witness {
    /// The build, if the host has a record of the stream.
    pub(crate) record: Option<plan::Build>,
    /// Builds of the service that were listed since the stream can have begun. Absent
    /// if the host may have missed one.
    pub(crate) builds: Option<builds::Set>,
}

impl Witness {
    /// Encodes what the host knows.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_allocvec(self)
    }

    /// Decodes what another host knows.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

/// A stream that a caller resumes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stream {
    /// Hash of the request that began the stream; 0 if the caller does not name it.
    pub(crate) origin: u64,
    /// Hash of the name of the service.
    pub(crate) service: u64,
    /// Longest time since the stream began.
    pub(crate) life: time::Duration,
}

impl Stream {
    /// Returns the query that asks for the stream.
    pub(crate) fn query(&self) -> back::Query {
        back::Query::new("origin", self.origin)
            .with("service", self.service)
            .with("life_ms", self.life.as_millis())
    }

    /// Parses a query; `None` if a field is missing or malformed.
    pub(crate) fn parse(query: &str) -> Option<Self> {
        let field = |name: &str| -> Option<u64> {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            let (_, value) = fields.find(|(key, _)| *key == name)?;
            value.parse().ok()
        };
        Some(Self {
            origin: field("origin")?,
            service: field("service")?,
            life: time::Duration::from_millis(field("life_ms")?),
        })
    }
}

/// Returns the build at which a stream began, if the witnesses leave no doubt.
///
/// A record decides. Otherwise only one build may have been listed in that time.
pub(crate) fn build(witnesses: &[Witness]) -> Option<plan::Build> {
    if let Some(build) = witnesses.iter().find_map(|witness| witness.record) {
        return Some(build);
    }
    let listed = witnesses
        .iter()
        .filter_map(|witness| witness.builds.as_ref());
    let all: builds::Set = listed.flatten().copied().collect();
    all.first().copied().flatten().filter(|_| all.len() == 1)
}
