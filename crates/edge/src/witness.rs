use core::time;
use std::collections;

/// What a host knows of the build of a stream.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub(crate) struct Witness {
    /// The build, if the host has a record of the stream.
    pub(crate) record: Option<plan::Build>,
    /// Builds at which a stream without a record can have begun. Absent if the list
    /// of the host may be out of date.
    pub(crate) alone: Option<collections::BTreeSet<plan::Build>>,
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
    pub(crate) fn query(&self) -> String {
        let life = self.life.as_millis();
        format!(
            "origin={}&service={}&life_ms={life}",
            self.origin, self.service
        )
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
/// A record decides. Otherwise the stream began at a build that its host listed
/// alone, and all hosts with a current list must agree on which one that was.
pub(crate) fn build(witnesses: &[Witness]) -> Option<plan::Build> {
    if let Some(build) = witnesses.iter().find_map(|witness| witness.record) {
        return Some(build);
    }
    let alone = witnesses
        .iter()
        .filter_map(|witness| witness.alone.as_ref());
    let all: collections::BTreeSet<plan::Build> = alone.flatten().copied().collect();
    all.first().copied().filter(|_| all.len() == 1)
}
