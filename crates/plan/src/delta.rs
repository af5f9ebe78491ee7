//! Difference between two plans, as large as what changed.

use core::fmt;
use core::hash;
use std::collections;

use crate::cold;
use crate::limits;
use crate::plan;
use crate::route;
use crate::service;
use crate::team;

/// Most items of a list. The largest configuration has some ten thousand.
const ITEMS_MAX: usize = 1 << 20;

/// Part of a list that is built from an earlier one.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
enum Edit<T> {
    /// Items of the earlier list.
    Keep { at: u32, count: u32 },
    /// An item that the earlier list does not have at a place that could be kept.
    Put(T),
}

/// A service with the fields that its own encoding leaves out.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
struct Service {
    service: service::Service,
    event_tokens: u32,
    kv_token_bytes: u64,
    cold: Option<cold::Cold>,
}

impl Service {
    fn new(service: service::Service) -> Self {
        let engine = service.engine.unwrap_or_default();
        Self {
            event_tokens: engine.event_tokens,
            kv_token_bytes: engine.kv_token_bytes,
            cold: service.cold,
            service,
        }
    }

    fn into_inner(self) -> service::Service {
        let mut service = self.service;
        service.cold = self.cold;
        if let Some(engine) = &mut service.engine {
            engine.event_tokens = self.event_tokens.max(1);
            engine.kv_token_bytes = self.kv_token_bytes;
        }
        service
    }
}

/// A team without its keys. Those of all teams form a list of their own, so that a key
/// costs the same in a large team as in a small one.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
struct Team {
    name: String,
    tier: Option<u8>,
    keys: u32,
}

/// Why a delta does not fit a plan.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// It keeps items that the plan does not have, or more than any plan has.
    Range,
    /// Its teams have more or fewer keys than it lists.
    Keys,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Range => "it keeps items that the earlier plan does not have",
            Self::Keys => "its teams have another number of keys",
        })
    }
}

impl std::error::Error for Error {}

/// What turns one plan into another one. Its size follows from what differs, whatever
/// the size of the plans.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Delta {
    era: u64,
    revision: u64,
    routes: Vec<Edit<route::Route>>,
    services: Vec<Edit<Service>>,
    limits: limits::Limits,
    teams: Vec<Edit<Team>>,
    keys: Vec<Edit<String>>,
}

impl Delta {
    /// Returns what turns `before` into `after`.
    pub fn new(before: &plan::Plan, after: &plan::Plan) -> Self {
        Self {
            era: after.era,
            revision: after.revision,
            routes: edits(&before.routes, &after.routes, |route| route.key()),
            services: edits(&services(before), &services(after), |service| {
                service.service.name.as_str()
            }),
            limits: after.limits,
            teams: edits(&teams(before), &teams(after), |team| team.name.as_str()),
            keys: edits(&keys(before), &keys(after), |key| key.as_str()),
        }
    }

    /// Applies the delta to the plan from which it was made.
    ///
    /// # Errors
    ///
    /// Fails if the plan is another one, as far as that shows.
    pub fn apply(self, before: &plan::Plan) -> Result<plan::Plan, Error> {
        let services = apply(self.services, &services(before))?;
        let teams = apply(self.teams, &teams(before))?;
        let mut keys = apply(self.keys, &keys(before))?.into_iter();
        let teams = teams.into_iter().map(|team| {
            let count = team.keys as usize;
            let keys: Vec<String> = keys.by_ref().take(count).collect();
            let is_whole = keys.len() == count;
            let team = team::Team {
                name: team.name,
                keys,
                tier: team.tier,
            };
            is_whole.then_some(team).ok_or(Error::Keys)
        });
        let teams = teams.collect::<Result<_, _>>()?;
        if keys.next().is_some() {
            return Err(Error::Keys);
        }
        Ok(plan::Plan {
            era: self.era,
            revision: self.revision,
            routes: apply(self.routes, &before.routes)?,
            services: services.into_iter().map(Service::into_inner).collect(),
            limits: self.limits,
            teams,
        })
    }
}

fn services(plan: &plan::Plan) -> Vec<Service> {
    plan.services.iter().cloned().map(Service::new).collect()
}

fn teams(plan: &plan::Plan) -> Vec<Team> {
    let teams = plan.teams.iter().map(|team| Team {
        name: team.name.clone(),
        tier: team.tier,
        // CAST: A plan is far smaller than 4 GiB.
        keys: team.keys.len() as u32,
    });
    teams.collect()
}

fn keys(plan: &plan::Plan) -> Vec<String> {
    let keys = plan.teams.iter().flat_map(|team| &team.keys);
    keys.cloned().collect()
}

/// Returns the edits that build one list from another one. An item that both have is kept
/// wherever it stands in the earlier list; `key` tells where to look.
fn edits<'a, T, K>(before: &'a [T], after: &'a [T], key: impl Fn(&'a T) -> K) -> Vec<Edit<T>>
where
    T: Clone + PartialEq,
    K: Eq + hash::Hash,
{
    let mut edits: Vec<Edit<T>> = Vec::new();
    let mut places: Option<collections::HashMap<K, usize>> = None;
    let mut next = 0;
    for item in after {
        let mut at = next;
        if before.get(at) != Some(item) {
            // Most lists differ in few places, and many do not differ at all.
            let places = places.get_or_insert_with(|| {
                let places = before.iter().enumerate();
                places.map(|(index, item)| (key(item), index)).collect()
            });
            let known = places.get(&key(item)).copied();
            let Some(known) = known.filter(|index| before[*index] == *item) else {
                edits.push(Edit::Put(item.clone()));
                // The item may stand in place of the one that was expected.
                next = known.map_or(next, |known| known + 1);
                continue;
            };
            at = known;
        }
        match edits.last_mut() {
            // CAST: A plan is far smaller than 4 GiB.
            Some(Edit::Keep { at: from, count }) if *from + *count == at as u32 => *count += 1,
            _ => edits.push(Edit::Keep {
                at: at as u32,
                count: 1,
            }),
        }
        next = at + 1;
    }
    edits
}

fn apply<T: Clone>(edits: Vec<Edit<T>>, before: &[T]) -> Result<Vec<T>, Error> {
    let mut after = Vec::new();
    for edit in edits {
        match edit {
            Edit::Keep { at, count } => {
                let end = at.checked_add(count).ok_or(Error::Range)?;
                let kept = before.get(at as usize..end as usize).ok_or(Error::Range)?;
                if after.len() + kept.len() > ITEMS_MAX {
                    return Err(Error::Range);
                }
                after.extend_from_slice(kept);
            }
            Edit::Put(item) => after.push(item),
        }
    }
    Ok(after)
}
