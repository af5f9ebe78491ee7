use core::time;

use crate::balancer;
use crate::demand;
use crate::endpoint;

/// Demand by the hash of the service.
pub type Demands = Vec<(u32, demand::Demand)>;

impl balancer::Balancer {
    /// Returns the demand to tell the hosts of the own data centre.
    pub fn demands(&self, now: time::Duration) -> Demands {
        self.demands
            .iter()
            .map(|(service, demand)| (endpoint::tag(service), demand.own(now)))
            .collect()
    }

    /// Returns the demand of the own data centre to tell hosts of others.
    pub fn demands_sum(&self, now: time::Duration) -> Demands {
        self.demands
            .iter()
            .map(|(service, demand)| (endpoint::tag(service), demand.near(now)))
            .collect()
    }

    /// Takes the demand that another host of the own data centre has seen.
    pub fn apply_demands(&mut self, now: time::Duration, peer: u64, demands: &Demands) {
        self.each_demand(demands, |demand, amounts| demand.hear(now, peer, amounts));
    }

    /// Takes the demand of another data centre.
    pub fn apply_demands_sum(&mut self, now: time::Duration, data_centre: u64, demands: &Demands) {
        self.each_demand(demands, |demand, amounts| {
            demand.apply_sum(now, data_centre, amounts);
        });
    }

    fn each_demand(
        &mut self,
        demands: &Demands,
        take: impl Fn(&mut demand::Tracker, demand::Demand),
    ) {
        for (tag, amounts) in demands {
            let known = self.services.keys();
            let service = known.into_iter().find(|name| endpoint::tag(name) == *tag);
            if let Some(service) = service.cloned() {
                take(self.demands.entry(service).or_default(), *amounts);
            }
        }
    }
}
