use std::collections;
use std::sync;

use conf::settings;
use sha2::Digest as _;

use crate::caller;
use crate::index;
use crate::query;
use crate::resolution;
use crate::team;

/// Limit of the characters of an unknown name that a refusal repeats.
const NAME_SHOWN_MAX: usize = 64;

/// Classes, teams and pools of the settings, indexed for resolution.
#[derive(Clone, Debug)]
pub struct Table {
    classes: Vec<Class>,
    teams: Vec<team::Team>,
    anonymous: team::Team,
    pools: collections::HashMap<String, Pool>,
    index: index::Index,
}

#[derive(Clone, Debug)]
struct Class {
    name: sync::Arc<str>,
    settings: settings::Class,
}

#[derive(Clone, Copy, Debug)]
struct Pool {
    class: Option<u16>,
    idempotent: Option<bool>,
}

impl Table {
    /// Returns the table of settings that passed the check of crate `conf`.
    ///
    /// # Panics
    ///
    /// Panics if the settings refer to a class that they do not define, or define
    /// more than 65,536 classes. The check rejects such settings.
    pub fn new(settings: &conf::Settings) -> Self {
        let classes: Vec<_> = settings.classes.iter().map(class).collect();
        let teams = teams(settings, &classes);
        let hashes = settings.teams.values().enumerate();
        let hashes = hashes
            .flat_map(|(position, team)| team.key_hashes.iter().map(move |hash| (*hash, position)));
        let index = index::Index::new(hashes);
        Self {
            anonymous: team::Team {
                name: team::ANONYMOUS.into(),
                key: team::ANONYMOUS_TEAM_KEY,
                class: position(&classes, &settings.anonymous.class),
                weight: settings.anonymous.weight,
            },
            pools: pools(settings, &classes),
            classes,
            teams,
            index,
        }
    }

    /// Authenticates the caller of a request and resolves its class.
    ///
    /// The class is that of the pool or, if the pool sets none, that of the team.
    /// Whether the request may run more than once is set by the pool or else by
    /// the class; the request can withdraw this permission but not grant it.
    ///
    /// # Errors
    ///
    /// Returns [`answer::Kind::UnknownKey`] for an unknown bearer key, whatever the
    /// pool, and [`answer::Kind::UnknownModel`] for an unknown pool.
    pub fn resolve(
        &self,
        query: &query::Query<'_>,
    ) -> Result<resolution::Resolution, answer::Refusal> {
        let (team, caller) = self.authenticate(query)?;
        let pool = self.pool(query.pool)?;
        let index = pool.class.unwrap_or(team.class);
        let class = &self.classes[usize::from(index)];
        let settings = &class.settings;
        let permitted = pool.idempotent.unwrap_or(settings.idempotent);
        let is_withdrawn = query.idempotent == Some(false);
        Ok(resolution::Resolution {
            class: class.name.clone(),
            class_index: index,
            tier: settings.tier,
            target_first: settings.target_first,
            target_gap: settings.target_gap,
            deadline: query
                .deadline
                .map_or(settings.deadline, |own| own.min(settings::DEADLINE_MAX)),
            team: team.name.clone(),
            team_key: team.key,
            caller,
            is_idempotent: permitted && !is_withdrawn,
            pool: query.pool.to_owned(),
            choice: resolution::Choice {
                class_by_pool: pool.class.is_some(),
                idempotent_by_pool: pool.idempotent.is_some(),
                idempotent_by_request: permitted && is_withdrawn,
                deadline_by_request: query.deadline.is_some(),
            },
        })
    }

    /// Returns the names of the classes in the order of
    /// [`resolution::Resolution::class_index`].
    pub fn class_names(&self) -> impl ExactSizeIterator<Item = &str> {
        self.classes.iter().map(|class| &*class.name)
    }

    /// Returns the key and the weight of each team; the last one, with key 0, is
    /// the team of anonymous callers.
    pub fn weights(&self) -> impl Iterator<Item = (u32, f64)> {
        let teams = self.teams.iter().chain([&self.anonymous]);
        teams.map(|team| (team.key, team.weight))
    }

    /// Returns the name of the team with this key, which is `anonymous` for key 0;
    /// `None` if no team has it.
    pub fn team_name(&self, key: u32) -> Option<&str> {
        let mut teams = self.teams.iter().chain([&self.anonymous]);
        teams.find(|team| team.key == key).map(|team| &*team.name)
    }

    fn authenticate(
        &self,
        query: &query::Query<'_>,
    ) -> Result<(&team::Team, u64), answer::Refusal> {
        let Some(bearer) = query.bearer else {
            return Ok((&self.anonymous, caller::anonymous(query.address)));
        };
        let hash = sha2::Sha256::digest(bearer.as_bytes()).into();
        let position = self.index.find(&hash).ok_or_else(|| {
            answer::Refusal::new(answer::Kind::UnknownKey, "the bearer key is not known")
        })?;
        Ok((&self.teams[position], caller::authenticated(&hash)))
    }

    fn pool(&self, name: &str) -> Result<Pool, answer::Refusal> {
        let found = self.pools.get(name).copied();
        found.ok_or_else(|| {
            let shown: String = name.chars().take(NAME_SHOWN_MAX).collect();
            let message = format!("the model or service {shown:?} is not configured");
            answer::Refusal::new(answer::Kind::UnknownModel, message)
        })
    }
}

fn class((name, settings): (&String, &settings::Class)) -> Class {
    Class {
        name: name.as_str().into(),
        settings: settings.clone(),
    }
}

fn teams(settings: &conf::Settings, classes: &[Class]) -> Vec<team::Team> {
    let mut keys = team::Keys::default();
    let teams = settings.teams.iter();
    teams
        .map(|(name, team)| team::Team {
            name: name.as_str().into(),
            key: keys.assign(name),
            class: position(classes, &team.class),
            weight: team.weight,
        })
        .collect()
}

fn pools(settings: &conf::Settings, classes: &[Class]) -> collections::HashMap<String, Pool> {
    let pool = |pool: &settings::Pool| Pool {
        class: pool.class.as_ref().map(|name| position(classes, name)),
        idempotent: pool.idempotent,
    };
    let pools = settings.pools.iter();
    pools
        .map(|(name, value)| (name.clone(), pool(value)))
        .collect()
}

fn position(classes: &[Class], name: &str) -> u16 {
    let found = classes.binary_search_by(|class| (*class.name).cmp(name));
    let found = found.unwrap_or_else(|_| panic!("the settings lack class {name}"));
    u16::try_from(found).expect("the check bounds the number of classes")
}
