use core::time;

use crate::balancer;
use crate::demand;
use crate::endpoint;

/// Demand by service; the key is the hash of the service's name.
pub type Demands = Vec<(u32, demand::Demand)>;

impl balancer::Balancer {
    /// Returns the demand of this host, for publication to the hosts of the own
    /// data centre.
    pub fn demands(&self, now: time::Duration) -> Demands {
        self.demands
            .iter()
            .map(|(service, tracker)| (endpoint::tag(service), tracker.own(now)))
            .collect()
    }

    /// Returns the demand of the own data centre, for publication to hosts of
    /// other data centres.
    pub fn demands_sum(&self, now: time::Duration) -> Demands {
        self.demands
            .iter()
            .map(|(service, tracker)| (endpoint::tag(service), tracker.data_centre_sum(now)))
            .collect()
    }

    /// Applies the demand that another host of the own data centre published.
    /// Unknown services are ignored.
    pub fn apply_demands(&mut self, now: time::Duration, peer: u64, demands: &Demands) {
        self.for_each_demand(demands, |tracker, demand| tracker.apply(now, peer, demand));
    }

    /// Applies the demand of another data centre. Unknown services are ignored.
    pub fn apply_demands_sum(&mut self, now: time::Duration, data_centre: u64, demands: &Demands) {
        self.for_each_demand(demands, |tracker, demand| {
            tracker.apply_sum(now, data_centre, demand);
        });
    }

    fn for_each_demand(
        &mut self,
        demands: &Demands,
        apply: impl Fn(&mut demand::Tracker, demand::Demand),
    ) {
        for (tag, demand) in demands {
            let known = self.services.keys();
            let service = known.into_iter().find(|name| endpoint::tag(name) == *tag);
            if let Some(service) = service.cloned() {
                apply(self.demands.entry(service).or_default(), *demand);
            }
        }
    }
}
