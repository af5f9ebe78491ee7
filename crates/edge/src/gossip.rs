use core::time;

use xxhash_rust::xxh3;

use crate::extension;

/// Largest datagram, in bytes; it fits into one packet on usual networks.
const DATAGRAM_MAX_BYTES: usize = 1_350;

/// Most loads in a datagram.
const LOADS_MAX: usize = 100;

/// Most loads in a part of a data centre's sum. It leaves room for placements.
const PART_LOADS_MAX: usize = 40;

/// Most parts of prompts under which endpoints crashed in a message, of up to ten bytes each,
/// beside the names of the crashes and complete answers.
const MESSAGE_PARTS_MAX: usize = 64;

/// A request that was in flight at an endpoint when it crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) struct Crash {
    pub(crate) fingerprint: u64,
    pub(crate) endpoint: u64,
}

/// The build at which a stream began.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) struct Origin {
    /// [`stream_hash`] of the id of the request that began the stream.
    pub(crate) stream: u64,
    pub(crate) build: plan::Build,
}

/// State that a host publishes to others several times a second. Encoded by
/// position, so the order and types of the fields are the wire format. The
/// extension follows it.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) struct Message {
    /// [`name_hash`] of the sender.
    pub(crate) sender: u64,
    /// When the sender's process started, in Unix milliseconds.
    pub(crate) incarnation: u64,
    /// When the message was built, in milliseconds since the sender's start.
    pub(crate) sent_ms: u64,
    /// Whether the sender is shutting down.
    pub(crate) is_leaving: bool,
    /// CPU time of the sender in thousandths of a core.
    pub(crate) cpu_millicores: u16,
    /// Whether the platform does not answer the sender.
    pub(crate) is_platform_unreachable: bool,
    /// Revision of the configuration in force at the sender; 0 for none.
    pub(crate) plan_revision: u64,
    /// Platform revision of the sender's list of endpoints.
    pub(crate) endpoint_revision: u64,
    /// Time since the sender's configuration was last confirmed, in
    /// milliseconds.
    pub(crate) age_ms: u32,
    /// Endpoint crashes: those that the sender has just detected, or those that
    /// convict poison requests.
    pub(crate) crashes: Vec<Crash>,
    /// Demand at the sender, or in its data centre.
    pub(crate) demands: steer::Demands,
    /// Recent placements of prompt parts.
    pub(crate) placements: Vec<steer::Placement>,
    /// Loads of endpoints.
    pub(crate) work: Work,
    #[serde(skip)]
    pub(crate) extension: extension::Extension,
    /// Builds of streams that the receiver keeps. They follow the extension; hosts
    /// of builds without them ignore the bytes.
    #[serde(skip)]
    pub(crate) origins: Vec<Origin>,
    /// What the sender knows of prompt parts. It follows the builds; hosts without it
    /// ignore the bytes.
    #[serde(skip)]
    pub(crate) blame: Blame,
    /// Limits of endpoints. They follow the state of prompt parts.
    #[serde(skip)]
    pub(crate) limits: Vec<steer::Limit>,
    /// Brittle services. They follow the limits; hosts without them ignore the bytes.
    #[serde(skip)]
    pub(crate) brittle: Vec<steer::Brittle>,
    /// Evacuated data centres. They follow the brittle services.
    #[serde(skip)]
    pub(crate) evacuated: steer::Evacuated,
    /// Cold endpoints. They follow the evacuated data centres.
    #[serde(skip)]
    pub(crate) cold: Vec<steer::cold::Summary>,
    /// What the sender has learned of the speed of endpoints. Hosts without it ignore the
    /// bytes.
    #[serde(skip)]
    pub(crate) rates: Vec<steer::rate::Summary>,
    /// Further parts of the prompts of crashes. They are the last field; hosts without them
    /// ignore the bytes.
    #[serde(skip)]
    pub(crate) rests: Vec<Rest>,
}

/// Parts of a prompt under which an endpoint crashed, after those in an earlier message.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) struct Rest {
    /// Position of the first of these parts among those of the crash.
    pub(crate) offset: u16,
    pub(crate) crash: route::parts::Crash,
}

/// Crashes under prompt parts, and parts on which an answer was complete.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) struct Blame {
    pub(crate) crashes: Vec<route::parts::Crash>,
    pub(crate) completions: Vec<Completion>,
}

impl Blame {
    fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.completions.is_empty()
    }
}

/// Splits crashes into pieces that fit into one message each: the crashes with the first of
/// their parts, and the rests.
pub(crate) fn pieces(
    crashes: Vec<route::parts::Crash>,
) -> Vec<(Vec<route::parts::Crash>, Vec<Rest>)> {
    let mut pieces: Vec<(Vec<_>, Vec<_>)> = Vec::new();
    let mut room = 0;
    for crash in crashes {
        for (index, parts) in crash.parts.chunks(MESSAGE_PARTS_MAX).enumerate() {
            if parts.len() > room {
                pieces.push(Default::default());
                room = MESSAGE_PARTS_MAX;
            }
            room -= parts.len();
            let crash = route::parts::Crash {
                parts: parts.to_vec(),
                ..crash
            };
            let Some((crashes, rests)) = pieces.last_mut() else {
                continue;
            };
            match u16::try_from(index * MESSAGE_PARTS_MAX) {
                Ok(0) => crashes.push(crash),
                Ok(offset) => rests.push(Rest { offset, crash }),
                Err(_) => {}
            }
        }
    }
    pieces
}

/// A complete answer on a prompt part.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) struct Completion {
    pub(crate) part: u64,
    /// Time since the end of the answer, in milliseconds.
    pub(crate) age_ms: u32,
}

impl Completion {
    /// Returns a complete answer that ended at `at`.
    pub(crate) fn new(now: time::Duration, part: u64, at: time::Duration) -> Self {
        let age = now.saturating_sub(at).as_millis();
        Self {
            part,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }
}

/// Loads of endpoints in a message.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) enum Work {
    /// Loads caused by the sender, for hosts of its own data centre.
    Host(Vec<steer::Load>),
    /// Loads caused by all hosts of the sender's data centre, for hosts of
    /// other data centres.
    DataCentre {
        /// [`name_hash`] of the data centre.
        name: u64,
        /// The sum of the loads, or a part of it.
        sum: steer::Sum,
    },
    /// No loads; the message reports crashes.
    None,
}

impl Message {
    /// Encodes the message. If it exceeds a datagram, entries are dropped in
    /// this order: the loads with the least work down to the size of a part,
    /// then placements, then further loads.
    pub(crate) fn encode(&mut self) -> Result<Vec<u8>, postcard::Error> {
        if let Some(loads) = self.loads() {
            loads.sort_by_key(|load| core::cmp::Reverse((load.is_down, load.running)));
            loads.truncate(LOADS_MAX);
        }
        loop {
            let bytes = postcard::to_allocvec(self)?;
            let mut bytes = postcard::to_extend(&self.extension, bytes)?;
            let has_rests = !self.rests.is_empty();
            let has_rates = has_rests || !self.rates.is_empty();
            let has_cold = has_rates || !self.cold.is_empty();
            let has_evacuated = has_cold || self.evacuated.stated.version.is_some();
            let has_brittle = has_evacuated || !self.brittle.is_empty();
            let has_limits = has_brittle || !self.limits.is_empty();
            let has_blame = has_limits || !self.blame.is_empty();
            if has_blame || !self.origins.is_empty() {
                bytes = postcard::to_extend(&self.origins, bytes)?;
            }
            if has_blame {
                bytes = postcard::to_extend(&self.blame, bytes)?;
            }
            if has_limits {
                bytes = postcard::to_extend(&self.limits, bytes)?;
            }
            if has_brittle {
                bytes = postcard::to_extend(&self.brittle, bytes)?;
            }
            if has_evacuated {
                bytes = postcard::to_extend(&self.evacuated, bytes)?;
            }
            if has_cold {
                bytes = postcard::to_extend(&self.cold, bytes)?;
            }
            if has_rates {
                bytes = postcard::to_extend(&self.rates, bytes)?;
            }
            if has_rests {
                bytes = postcard::to_extend(&self.rests, bytes)?;
            }
            if bytes.len() <= DATAGRAM_MAX_BYTES {
                return Ok(bytes);
            }
            let loads = self.loads().map_or(0, |loads| loads.len());
            if loads <= PART_LOADS_MAX && !self.placements.is_empty() {
                self.placements.truncate(self.placements.len() * 3 / 4);
            } else if let Some(loads) = self.loads().filter(|loads| !loads.is_empty()) {
                loads.truncate(loads.len() * 3 / 4);
            } else {
                return Ok(bytes);
            }
        }
    }

    fn loads(&mut self) -> Option<&mut Vec<steer::Load>> {
        match &mut self.work {
            Work::Host(loads) => Some(loads),
            Work::DataCentre { sum, .. } => Some(&mut sum.loads),
            Work::None => None,
        }
    }

    /// Decodes a message, also one without an extension.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (mut message, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        let rest = message.extension.take(rest)?;
        if rest.is_empty() {
            return Ok(message);
        }
        let (origins, rest) = postcard::take_from_bytes(rest)?;
        message.origins = origins;
        if rest.is_empty() {
            return Ok(message);
        }
        let (blame, rest) = postcard::take_from_bytes(rest)?;
        message.blame = blame;
        if rest.is_empty() {
            return Ok(message);
        }
        let (limits, rest) = postcard::take_from_bytes(rest)?;
        message.limits = limits;
        if rest.is_empty() {
            return Ok(message);
        }
        let (brittle, rest) = postcard::take_from_bytes(rest)?;
        message.brittle = brittle;
        if rest.is_empty() {
            return Ok(message);
        }
        let (evacuated, rest) = postcard::take_from_bytes(rest)?;
        message.evacuated = evacuated;
        if rest.is_empty() {
            return Ok(message);
        }
        let (cold, rest) = postcard::take_from_bytes(rest)?;
        message.cold = cold;
        if rest.is_empty() {
            return Ok(message);
        }
        let (rates, rest) = postcard::take_from_bytes(rest)?;
        message.rates = rates;
        if !rest.is_empty() {
            message.rests = postcard::from_bytes(rest)?;
        }
        Ok(message)
    }

    /// Returns the version of the sender's configuration.
    pub(crate) const fn plan_version(&self) -> plan::Version {
        plan::Version::new(self.extension.plan_era, self.plan_revision)
    }

    /// Returns the version of the sender's list of endpoints.
    pub(crate) const fn endpoint_version(&self) -> plan::Version {
        plan::Version::new(self.extension.endpoint_era, self.endpoint_revision)
    }
}

/// Splits the sum of a data centre into parts of one message each.
pub(crate) fn parts(data_centre: &str, sum: steer::Sum) -> Vec<Work> {
    let name = name_hash(data_centre);
    sum.split(PART_LOADS_MAX)
        .into_iter()
        .map(|sum| Work::DataCentre { name, sum })
        .collect()
}

/// Returns the hash that identifies one start of an endpoint.
pub(crate) fn start_hash(id: &str, started_ms: u64) -> u64 {
    xxh3::xxh3_64_with_seed(id.as_bytes(), started_ms)
}

/// Returns the hash that identifies a stream by the id of the request that began it.
/// It is never zero.
pub(crate) fn stream_hash(id: &[u8]) -> u64 {
    xxh3::xxh3_64(id).max(1)
}

/// Returns the score of a host by which the hosts that keep the build of a stream
/// are ordered.
pub(crate) fn score(name: &str, stream: u64) -> u64 {
    xxh3::xxh3_64_with_seed(name.as_bytes(), stream)
}

/// Returns the hash that identifies a host, data centre, service or endpoint by name.
pub(crate) fn name_hash(name: &str) -> u64 {
    xxh3::xxh3_64(name.as_bytes())
}
