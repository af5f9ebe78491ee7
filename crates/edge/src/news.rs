use xxhash_rust::xxh3;

/// Bytes of a datagram, below the smallest usual packet.
const BYTES_MAX: usize = 1_350;

/// Loads in a datagram.
const LOADS_MAX: usize = 100;

/// A request that was in flight at an endpoint when it crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) struct Accusation {
    pub(crate) fingerprint: u64,
    pub(crate) endpoint: u64,
}

/// What a host tells others several times a second.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) struct News {
    /// Hash of the sender's name.
    pub(crate) sender: u64,
    /// Start of the sender's lifetime in Unix milliseconds.
    pub(crate) incarnation: u64,
    /// Number of the datagram in this lifetime.
    pub(crate) number: u64,
    /// Whether the sender finishes what it has and takes no more.
    pub(crate) is_leaving: bool,
    /// Processor time of the sender in thousandths of a core.
    pub(crate) strength: u16,
    /// Whether the platform does not answer the sender.
    pub(crate) is_lost: bool,
    /// Revision of the configuration in force at the sender.
    pub(crate) plan_revision: u64,
    /// Platform revision of the sender's list of endpoints.
    pub(crate) endpoint_revision: u64,
    /// Age of the sender's newest word of the platform in milliseconds.
    pub(crate) age_ms: u32,
    /// Crashes that the sender has seen lately.
    pub(crate) accusations: Vec<Accusation>,
    /// Demand that the sender has seen, by the hash of the service.
    pub(crate) demands: Vec<(u32, steer::Amounts)>,
    /// Prompt parts that the sender has placed lately.
    pub(crate) placements: Vec<steer::Placement>,
    /// Work of the sender at endpoints.
    pub(crate) loads: Vec<steer::Load>,
}

impl News {
    /// Encodes the news. The loads that do not fit are left out, those with the
    /// least work first.
    pub(crate) fn encode(&mut self) -> Result<Vec<u8>, postcard::Error> {
        self.loads
            .sort_by_key(|load| core::cmp::Reverse((load.is_down, load.running)));
        self.loads.truncate(LOADS_MAX);
        loop {
            let bytes = postcard::to_allocvec(self)?;
            if bytes.len() <= BYTES_MAX || self.loads.is_empty() {
                return Ok(bytes);
            }
            self.loads.truncate(self.loads.len() * 3 / 4);
        }
    }

    /// Decodes news.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

/// Returns the hash by which a host is named.
pub(crate) fn sender(name: &str) -> u64 {
    xxh3::xxh3_64(name.as_bytes())
}
