use std::collections;

use xxhash_rust::xxh3;

use crate::plan;
use crate::rank;
use crate::route;
use crate::service;
use crate::team;

/// Result of the authentication of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Caller<'a> {
    /// The request has no valid key and needs none.
    Anonymous,
    /// The key belongs to this team.
    Member(&'a team::Team),
    /// A key is required but missing or invalid.
    Unauthenticated,
}

/// A plan with indexes for the request path.
#[derive(Debug, Default)]
pub struct Table {
    plan: plan::Plan,
    /// Indexes of the routes by host name in lower case, longest prefix first.
    routes: collections::HashMap<String, Vec<usize>>,
    /// Indexes of the teams by key.
    keys: collections::HashMap<String, usize>,
    ranks: rank::Ranks,
}

impl Table {
    /// Indexes a plan.
    pub fn new(plan: plan::Plan) -> Self {
        let mut routes: collections::HashMap<String, Vec<usize>> = collections::HashMap::new();
        for (index, route) in plan.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            routes.entry(host).or_default().push(index);
        }
        for list in routes.values_mut() {
            list.sort_by_key(|&index| core::cmp::Reverse(plan.routes[index].prefix.len()));
        }
        let keys = plan
            .teams
            .iter()
            .enumerate()
            .flat_map(|(index, team)| team.keys.iter().map(move |key| (key.clone(), index)))
            .collect();
        Self {
            ranks: rank::Ranks::new(&plan),
            plan,
            routes,
            keys,
        }
    }

    /// Returns the plan.
    pub const fn plan(&self) -> &plan::Plan {
        &self.plan
    }

    /// Returns the route with the longest prefix that matches the path.
    ///
    /// `host` is the value of the `Host` header; a port in it is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&route::Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, port)| {
            let is_port = port.bytes().all(|byte| byte.is_ascii_digit());
            if is_port { name } else { host }
        });
        let list = self.routes.get(&name.to_ascii_lowercase())?;
        list.iter()
            .map(|&index| &self.plan.routes[index])
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Authenticates a request of a route by its key. A valid key identifies the
    /// team on public routes, too.
    pub fn caller(&self, route: &route::Route, key: Option<&str>) -> Caller<'_> {
        let known = key.and_then(|key| self.keys.get(key));
        if let Some(&index) = known {
            return Caller::Member(&self.plan.teams[index]);
        }
        if route.is_public || self.plan.teams.is_empty() {
            return Caller::Anonymous;
        }
        Caller::Unauthenticated
    }

    /// Returns the rank of a request at a service. Requests are ordered by the
    /// tier of their team, then by the tier of their route.
    pub fn rank(
        &self,
        service: &str,
        route: &route::Route,
        team: Option<&team::Team>,
    ) -> rank::Rank {
        let team = team.and_then(|team| team.tier);
        self.ranks.rank(service, team, route.tier)
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&service::Service> {
        self.plan
            .services
            .iter()
            .find(|service| service.name == name)
    }

    /// Selects the service of a request by a hash of its identifier, in proportion
    /// to the weights. Retries of a request therefore go to the same service,
    /// whose endpoints may have its prompt cached. Returns `None` if all weights
    /// are 0.
    pub fn target<'a>(&self, route: &'a route::Route, request_id: &[u8]) -> Option<&'a str> {
        let total: u64 = route
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        if total == 0 {
            return None;
        }
        let mut draw = xxh3::xxh3_64(request_id) % total;
        for target in &route.targets {
            let weight = u64::from(target.weight);
            if draw < weight {
                return Some(&target.service);
            }
            draw -= weight;
        }
        None
    }
}
