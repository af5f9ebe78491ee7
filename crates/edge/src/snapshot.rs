use xxhash_rust::xxh3;

use crate::extension;
use crate::history;

/// Configuration and endpoints of one host, for a host that does not read the
/// platform itself. Encoded by position, so the order and types of the fields
/// are the wire format. The extension follows it.
#[derive(Debug, serde::Deserialize, serde::Serialize)]
pub(crate) struct Snapshot {
    /// The configuration, unless the other host already has it.
    pub(crate) plan: Option<plan::Plan>,
    pub(crate) plan_revision: u64,
    /// Platform revision of the list of endpoints.
    pub(crate) endpoint_revision: u64,
    pub(crate) endpoints: Vec<plan::Endpoint>,
    /// Time since the configuration was last confirmed, in milliseconds.
    pub(crate) age_ms: u64,
    #[serde(skip)]
    pub(crate) extension: extension::Extension,
    /// Versions of the software of the endpoints, in their order. They follow the
    /// extension; hosts of builds without them ignore the bytes.
    #[serde(skip)]
    pub(crate) builds: Vec<Option<String>>,
    /// Evacuated data centres. They follow the builds; the facts of engines follow them.
    #[serde(skip)]
    pub(crate) evacuated: steer::Evacuated,
    /// Cold endpoints. They follow the facts of engines.
    #[serde(skip)]
    pub(crate) cold: Cold,
    /// Removals of endpoints that are held back, with the milliseconds until they are
    /// carried out. They follow the cold endpoints.
    #[serde(skip)]
    pub(crate) held: Vec<(String, u32)>,
    /// What the other host lacks, if it asked for that. It follows the removals.
    #[serde(skip)]
    pub(crate) update: Option<history::Update>,
}

/// What one host knows of cold endpoints.
#[derive(Debug, Default, serde::Deserialize, serde::Serialize)]
pub(crate) struct Cold {
    /// Settings by service.
    pub(crate) settings: Vec<(String, plan::Cold)>,
    /// What the entries of the endpoints say, in their order: the time left and the time
    /// since they were read, in milliseconds.
    pub(crate) entries: Vec<Option<(u32, u32)>>,
    /// States from all sources.
    pub(crate) summaries: Vec<steer::cold::Summary>,
}

/// What a configuration states of the engines of a service beside the plan.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
struct Facts {
    event_tokens: u32,
    kv_token_bytes: u64,
}

impl Default for Facts {
    fn default() -> Self {
        Self::of_engine(plan::Engine::default())
    }
}

impl Facts {
    const fn of_engine(engine: plan::Engine) -> Self {
        Self {
            event_tokens: engine.event_tokens,
            kv_token_bytes: engine.kv_token_bytes,
        }
    }

    /// Returns the facts of the engines of each service, in their order.
    fn of(plan: &plan::Plan) -> Vec<Option<Self>> {
        let engines = plan.services.iter().map(|service| service.engine);
        engines.map(|engine| engine.map(Self::of_engine)).collect()
    }

    /// Sets the facts of the engines of each service.
    fn set(plan: &mut plan::Plan, list: &[Option<Self>]) {
        for (service, facts) in plan.services.iter_mut().zip(list) {
            if let (Some(engine), Some(facts)) = (&mut service.engine, facts) {
                engine.event_tokens = facts.event_tokens.max(1);
                engine.kv_token_bytes = facts.kv_token_bytes;
            }
        }
    }
}

impl Snapshot {
    /// Encodes the snapshot, its extension and what follows it. Hosts of builds that do
    /// not know one of the fields ignore the bytes from there on.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let bytes = postcard::to_allocvec(self)?;
        let bytes = postcard::to_extend(&self.extension, bytes)?;
        let bytes = postcard::to_extend(&self.builds, bytes)?;
        let bytes = postcard::to_extend(&self.evacuated, bytes)?;
        let facts = self.plan.as_ref().map(Facts::of);
        let bytes = postcard::to_extend(&facts.unwrap_or_default(), bytes)?;
        let ends_early = self.update.is_none() && self.held.is_empty();
        if ends_early && self.cold.settings.is_empty() {
            return Ok(bytes);
        }
        let bytes = postcard::to_extend(&self.cold, bytes)?;
        if ends_early {
            return Ok(bytes);
        }
        let bytes = postcard::to_extend(&self.held, bytes)?;
        match &self.update {
            Some(update) => postcard::to_extend(update, bytes),
            None => Ok(bytes),
        }
    }

    /// Decodes a snapshot, also one that ends before one of the fields.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (mut snapshot, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        let rest = snapshot.extension.take(rest)?;
        let mut facts: Vec<Option<Facts>> = Vec::new();
        if !rest.is_empty() {
            let (builds, mut rest) = postcard::take_from_bytes(rest)?;
            snapshot.builds = builds;
            if !rest.is_empty() {
                (snapshot.evacuated, rest) = postcard::take_from_bytes(rest)?;
            }
            if !rest.is_empty() {
                (facts, rest) = postcard::take_from_bytes(rest)?;
            }
            if !rest.is_empty() {
                (snapshot.cold, rest) = postcard::take_from_bytes(rest)?;
            }
            if !rest.is_empty() {
                (snapshot.held, rest) = postcard::take_from_bytes(rest)?;
            }
            if !rest.is_empty() {
                snapshot.update = Some(postcard::from_bytes(rest)?);
            }
        }
        for (endpoint, build) in snapshot.endpoints.iter_mut().zip(&mut snapshot.builds) {
            endpoint.build = build.take();
        }
        if let Some(plan) = &mut snapshot.plan {
            plan.era = snapshot.extension.plan_era;
            Facts::set(plan, &facts);
            for service in &mut plan.services {
                let mut settings = snapshot.cold.settings.iter();
                let settings = settings.find(|(name, _)| *name == service.name);
                service.cold = settings.map(|(_, cold)| *cold);
            }
        }
        Ok(snapshot)
    }

    /// Returns the version of the configuration.
    pub(crate) const fn plan_version(&self) -> plan::Version {
        plan::Version::new(self.extension.plan_era, self.plan_revision)
    }

    /// Returns the version of the list of endpoints.
    pub(crate) const fn endpoint_version(&self) -> plan::Version {
        plan::Version::new(self.extension.endpoint_era, self.endpoint_revision)
    }
}

/// State that a host has when it asks for a snapshot.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Known {
    /// Version of the configuration.
    pub(crate) version: plan::Version,
    /// Hash of the configuration; absent without one.
    pub(crate) content: Option<u64>,
    /// Version of the list of endpoints; absent if the host takes whole states only, as
    /// those of earlier builds.
    pub(crate) endpoints: Option<plan::Version>,
}

impl Known {
    /// Returns the query that states it.
    pub(crate) fn query(&self) -> back::Query {
        let plan::Version { era, revision } = self.version;
        let mut query = back::Query::new("plan", revision).with("era", era);
        if let Some(content) = self.content {
            query = query.with("content", content);
        }
        if let Some(plan::Version { era, revision }) = self.endpoints {
            query = query.with("endpoints", revision).with("endpoint_era", era);
        }
        query
    }

    /// Parses a query; missing fields have the defaults.
    pub(crate) fn parse(query: &str) -> Self {
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            let (_, value) = fields.find(|(key, _)| *key == name)?;
            value.parse().ok()
        };
        let number = |name| field(name).unwrap_or(0);
        Self {
            version: plan::Version::new(number("era"), number("plan")),
            content: field("content"),
            endpoints: field("endpoints")
                .map(|revision| plan::Version::new(number("endpoint_era"), revision)),
        }
    }
}

/// Returns the hash of the content of a configuration, without its era.
pub(crate) fn content(plan: &plan::Plan) -> u64 {
    let facts = Facts::of(plan);
    let has_facts = facts
        .iter()
        .flatten()
        .any(|facts| *facts != Facts::default());
    let colds: Vec<Option<plan::Cold>> = plan.services.iter().map(|service| service.cold).collect();
    let has_cold = colds.iter().any(Option::is_some);
    // A plan holds nothing that cannot be encoded.
    let bytes = postcard::to_allocvec(plan);
    let bytes = match has_facts || has_cold {
        true => bytes.and_then(|bytes| postcard::to_extend(&(&facts, &colds), bytes)),
        // Hosts of earlier builds get the same hash.
        false => bytes,
    };
    bytes.map_or(0, |bytes| xxh3::xxh3_64(&bytes))
}
