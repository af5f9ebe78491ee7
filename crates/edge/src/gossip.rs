use xxhash_rust::xxh3;

/// Bytes of a datagram, below the smallest usual packet.
const DATAGRAM_MAX_BYTES: usize = 1_350;

/// Loads in a datagram; of a sum that has more, each datagram holds a part.
const LOADS_MAX: usize = 100;

/// Loads in a part of a sum, which leaves room for placements.
const PART_LOADS_MAX: usize = 40;

/// A request that was in flight at an endpoint when it crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) struct Crash {
    pub(crate) fingerprint: u64,
    pub(crate) endpoint: u64,
}

/// What a host tells others several times a second.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) struct Message {
    /// Hash of the sender's name.
    pub(crate) sender: u64,
    /// Start of the sender's lifetime in Unix milliseconds.
    pub(crate) incarnation: u64,
    /// Number of the datagram in this lifetime.
    pub(crate) sent_ms: u64,
    /// Whether the sender finishes what it has and takes no more.
    pub(crate) is_leaving: bool,
    /// Processor time of the sender in thousandths of a core.
    pub(crate) cpu_millicores: u16,
    /// Whether the platform does not answer the sender.
    pub(crate) is_platform_unreachable: bool,
    /// Revision of the configuration in force at the sender.
    pub(crate) plan_revision: u64,
    /// Platform revision of the sender's list of endpoints.
    pub(crate) endpoint_revision: u64,
    /// Age of the sender's newest word of the platform in milliseconds.
    pub(crate) age_ms: u32,
    /// Crashes that the sender has seen lately.
    pub(crate) crashes: Vec<Crash>,
    /// Demand that the sender, or its data centre, has seen.
    pub(crate) demands: steer::Demands,
    /// Prompt parts that the sender has placed lately.
    pub(crate) placements: Vec<steer::Placement>,
    /// Work at endpoints.
    pub(crate) work: Work,
}

/// The work that news tell of.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) enum Work {
    /// Work of the sender, for hosts of its own data centre.
    Host(Vec<steer::Load>),
    /// Work of all hosts of the sender's data centre, for those of others.
    DataCentre {
        /// Hash of the name of the data centre.
        name: u64,
        /// Their loads, or a part of them.
        sum: steer::Sum,
    },
}

impl Message {
    /// Encodes the news. What does not fit is left out: the loads with the
    /// least work beyond a part, then placements, then further loads.
    pub(crate) fn encode(&mut self) -> Result<Vec<u8>, postcard::Error> {
        self.loads()
            .sort_by_key(|load| core::cmp::Reverse((load.is_down, load.running)));
        self.loads().truncate(LOADS_MAX);
        loop {
            let bytes = postcard::to_allocvec(self)?;
            if bytes.len() <= DATAGRAM_MAX_BYTES {
                return Ok(bytes);
            }
            if self.loads().len() <= PART_LOADS_MAX && !self.placements.is_empty() {
                self.placements.truncate(self.placements.len() * 3 / 4);
            } else if !self.loads().is_empty() {
                let kept = self.loads().len() * 3 / 4;
                self.loads().truncate(kept);
            } else {
                return Ok(bytes);
            }
        }
    }

    fn loads(&mut self) -> &mut Vec<steer::Load> {
        match &mut self.work {
            Work::Host(loads) => loads,
            Work::DataCentre { sum, .. } => &mut sum.loads,
        }
    }

    /// Decodes news.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

/// Returns the parts in which the sum of a data centre is told.
pub(crate) fn parts(data_centre: &str, sum: steer::Sum) -> Vec<Work> {
    let name = name_hash(data_centre);
    sum.split(PART_LOADS_MAX)
        .into_iter()
        .map(|sum| Work::DataCentre { name, sum })
        .collect()
}

/// Returns the hash by which a host or a data centre is named.
pub(crate) fn name_hash(name: &str) -> u64 {
    xxh3::xxh3_64(name.as_bytes())
}
