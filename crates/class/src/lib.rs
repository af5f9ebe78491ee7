//! Caller recognition and class resolution.

use core::time;
use std::net;
use std::sync;

use answer::{Kind, Refusal};
use sha2::Digest;

/// Team key of all anonymous callers together.
pub const ANONYMOUS: u32 = 0;

/// Returns the key of a team, the same on every host.
pub fn team_key(name: &str) -> u32 {
    (xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32).max(1)
}

/// What is asked of the table.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Bearer key.
    pub bearer: Option<&'a str>,
    /// Caller's address.
    pub address: net::IpAddr,
    /// Pool.
    pub pool: &'a str,
    /// What the request says.
    pub idempotent: Option<bool>,
    /// What the request says.
    pub deadline: Option<time::Duration>,
}

/// What a request is given.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Class.
    pub class: String,
    /// Tier.
    pub tier: u8,
    /// Deadline.
    pub deadline: time::Duration,
    /// Team key.
    pub team_key: u32,
    /// Caller hash.
    pub caller: u64,
    /// Whether it may repeat.
    pub idempotent: bool,
}

/// Resolves callers.
pub struct Table {
    settings: sync::Arc<conf::Settings>,
}

impl Table {
    /// Builds the table.
    pub fn new(settings: &conf::Settings) -> Self {
        Self {
            settings: sync::Arc::new(settings.clone()),
        }
    }

    /// Resolves a request.
    ///
    /// # Errors
    ///
    /// Refuses an unknown key or pool.
    pub fn resolve(&self, query: &Query<'_>) -> Result<Outcome, Refusal> {
        let pool = self
            .settings
            .pools
            .get(query.pool)
            .ok_or_else(|| Refusal::new(Kind::UnknownModel, "no such model or service"))?;
        let (class, team_key) = match query.bearer {
            None => (self.settings.anonymous.class.clone(), ANONYMOUS),
            Some(key) => {
                let hash: [u8; 32] = sha2::Sha256::digest(key.as_bytes()).into();
                let (name, team) = self
                    .settings
                    .teams
                    .iter()
                    .find(|(_, team)| team.key_hashes.contains(&hash))
                    .ok_or_else(|| Refusal::new(Kind::UnknownKey, "the key is not known"))?;
                (team.class.clone(), team_key(name))
            }
        };
        let name = pool.class.clone().unwrap_or(class);
        let class = &self.settings.classes[&name];
        Ok(Outcome {
            tier: class.tier,
            deadline: query.deadline.unwrap_or(class.deadline),
            team_key,
            caller: 0,
            idempotent: class.idempotent,
            class: name,
        })
    }
}
