use std::collections;

use crate::plan;

/// Number of ranks that endpoints distinguish.
const LEVELS: usize = 10;

/// Urgency of a request relative to the other requests of its service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rank {
    level: u8,
    last: u8,
}

impl Rank {
    /// Returns the rank of a level between 0, the most urgent, and `last`, the
    /// least urgent one.
    pub const fn new(level: u8, last: u8) -> Self {
        Self { level, last }
    }

    /// Returns the level; 0 is the most urgent one.
    pub const fn level(self) -> u8 {
        self.level
    }

    /// Returns the urgency from 0 for the least urgent to 1 for the most urgent
    /// requests of the service. It is 0 if the service has one level only.
    pub fn urgency(self) -> f64 {
        match self.last {
            0 => 0.0,
            last => 1.0 - f64::from(self.level.min(last)) / f64::from(last),
        }
    }
}

/// Sort key of requests: the tier of the team, or of the route for teams without
/// a tier, and then the tier of the route.
type Pair = (u8, u8);

/// The tier pairs in use at each service, most urgent first.
#[derive(Debug, Default)]
pub(crate) struct Ranks(collections::HashMap<String, Vec<Pair>>);

impl Ranks {
    pub(crate) fn new(plan: &plan::Plan) -> Self {
        let mut sets: collections::HashMap<String, collections::BTreeSet<Pair>> =
            collections::HashMap::new();
        for route in &plan.routes {
            let teams = plan.teams.iter().map(|team| team.tier);
            let pairs: Vec<Pair> = teams
                .chain([None])
                .map(|team| pair(team, route.tier))
                .collect();
            for target in &route.targets {
                let set = sets.entry(target.service.clone()).or_default();
                set.extend(&pairs);
            }
        }
        let lists = sets
            .into_iter()
            .map(|(service, set)| (service, set.into_iter().collect()));
        Self(lists.collect())
    }

    pub(crate) fn rank(&self, service: &str, team: Option<u8>, route: u8) -> Rank {
        let wanted = pair(team, route);
        let list = self.0.get(service).map_or(&[][..], Vec::as_slice);
        let position = list.partition_point(|known| *known < wanted);
        let count = list.len().max(position + 1);
        // Neighbouring pairs share a level if there are more pairs than levels.
        let levels = count.min(LEVELS);
        // CAST: Both are below the number of levels.
        Rank::new((position * levels / count) as u8, (levels - 1) as u8)
    }
}

fn pair(team: Option<u8>, route: u8) -> Pair {
    (team.unwrap_or(route), route)
}
