use core::time;
use std::collections;

use crate::balancer;
use crate::endpoint;
use crate::load;

/// Share of the hosts in the last sum that a new sum must cover to replace it
/// while it is recent. A host that has just started, or is partitioned from its
/// data centre, has the loads of few other hosts.
const HOSTS_SHARE_MIN: f64 = 0.5;

/// The loads of all hosts of a data centre, as added up by one of them.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Sum {
    /// Number of hosts whose loads are in the sum.
    pub hosts: u32,
    /// Index of this part from 0, and the number of parts. An endpoint belongs
    /// to the part whose index is its tag modulo the number of parts.
    pub part: (u32, u32),
    /// Loads of the endpoints of this part that have work or failures.
    pub loads: Vec<load::Load>,
}

impl Sum {
    /// Splits the sum into parts of about `loads_max` loads. Parts vary in size,
    /// because the tag of an endpoint determines its part.
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

/// Size and time of the last sum accepted from a data centre.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Latest {
    hosts: u32,
    at: time::Duration,
}

impl balancer::Balancer {
    /// Adds up the loads of this host and of the other hosts of its data centre.
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
            let has_content = sum.running > 0 || sum.failed_percent > 0 || sum.is_down;
            loads.extend(has_content.then_some(sum));
        }
        Sum {
            // CAST: There are fewer hosts than the range holds.
            hosts: hosts.len() as u32 + 1,
            part: (0, 1),
            loads,
        }
    }

    /// Applies the sum of another data centre, or a part of it. Endpoints that
    /// belong to the part but are not in it have no work of that data centre.
    ///
    /// A sum over far fewer hosts than the last one is ignored while that one is
    /// recent.
    pub fn apply_sum(&mut self, now: time::Duration, data_centre: u64, sum: &Sum) {
        self.last_peer_update = Some(now);
        if let Some(latest) = self.sums.get(&data_centre) {
            let is_fresh = now.saturating_sub(latest.at) < self.options.peer_load_age;
            if is_fresh && f64::from(sum.hosts) < f64::from(latest.hosts) * HOSTS_SHARE_MIN {
                return;
            }
        }
        let latest = Latest {
            hosts: sum.hosts,
            at: now,
        };
        self.sums.insert(data_centre, latest);
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
