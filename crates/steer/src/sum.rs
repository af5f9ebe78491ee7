use core::time;
use std::collections;

use crate::balancer;
use crate::endpoint;
use crate::load;

/// Share of the hosts of the last sum that a new one must cover to replace it
/// at once. A host that has just started, or is cut off from its data centre,
/// knows little of the others.
const HOSTS_SHARE: f64 = 0.5;

/// The loads of all hosts of a data centre, as one of them knows them.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Sum {
    /// Hosts whose loads are in the sum.
    pub hosts: u32,
    /// Number of this part of the sum, and of all its parts. An endpoint
    /// belongs to the part with the number that its tag leaves divided by the
    /// number of parts.
    pub part: (u32, u32),
    /// Loads by endpoint.
    pub loads: Vec<load::Load>,
}

impl Sum {
    /// Divides the sum into parts with at most about this many loads.
    pub fn split(self, loads_max: usize) -> Vec<Self> {
        // CAST: There are fewer endpoints than the range holds.
        let parts = self.loads.len().div_ceil(loads_max.max(1)).max(1) as u32;
        let mut split: Vec<Self> = (0..parts)
            .map(|part| Self {
                hosts: self.hosts,
                part: (part, parts),
                loads: Vec::new(),
            })
            .collect();
        for load in self.loads {
            split[(load.tag % parts) as usize].loads.push(load);
        }
        split
    }
}

/// The sum of a data centre that was heard last.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Heard {
    hosts: u32,
    at: time::Duration,
}

impl balancer::Balancer {
    /// Adds up the loads of this host and of the others in its data centre.
    pub fn sum(&self, now: time::Duration) -> Sum {
        let mut hosts: collections::HashSet<u64> = collections::HashSet::new();
        let mut loads = Vec::new();
        for endpoint in self.endpoints.values() {
            let mut sum = self.load(now, endpoint);
            for (host, peer) in &endpoint.peers {
                if now.saturating_sub(peer.at) >= self.options.peer_load_age {
                    continue;
                }
                hosts.insert(*host);
                sum.running += peer.load.running;
                sum.prefill_tokens = sum.prefill_tokens.saturating_add(peer.load.prefill_tokens);
                sum.kv_tokens = sum.kv_tokens.saturating_add(peer.load.kv_tokens);
                sum.failed_percent = sum.failed_percent.max(peer.load.failed_percent);
                sum.is_down |= peer.load.is_down;
            }
            let is_told = sum.running > 0 || sum.failed_percent > 0 || sum.is_down;
            loads.extend(is_told.then_some(sum));
        }
        Sum {
            // CAST: There are fewer hosts than the range holds.
            hosts: hosts.len() as u32 + 1,
            part: (0, 1),
            loads,
        }
    }

    /// Takes the sum of another data centre, or a part of it. Endpoints that it
    /// leaves out have no work of that data centre.
    pub fn apply_sum(&mut self, now: time::Duration, data_centre: u64, sum: &Sum) {
        self.heard = Some(now);
        if let Some(heard) = self.sums.get(&data_centre) {
            let is_fresh = now.saturating_sub(heard.at) < self.options.peer_load_age;
            if is_fresh && f64::from(sum.hosts) < f64::from(heard.hosts) * HOSTS_SHARE {
                return;
            }
        }
        let heard = Heard {
            hosts: sum.hosts,
            at: now,
        };
        self.sums.insert(data_centre, heard);
        let (part, parts) = (sum.part.0, sum.part.1.max(1));
        for endpoint in self.endpoints.values_mut() {
            if endpoint.tag % parts == part {
                endpoint.sums.remove(&data_centre);
            }
        }
        for &load in &sum.loads {
            if let Some(endpoint) = self.tagged(load.tag) {
                let peer = endpoint::PeerLoad { load, at: now };
                endpoint.sums.insert(data_centre, peer);
                endpoint.apply_report(now, load);
            }
        }
    }
}
