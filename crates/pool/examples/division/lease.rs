use super::setup;

/// Demand of one host, as last received by the home.
#[derive(Clone, Debug)]
pub struct Demand {
    pub wanted: [f64; 3],
    pub held: Vec<u32>,
}

/// Divides the slots of all endpoints between the hosts.
///
/// Higher tiers are satisfied first. A slot that a host uses stays with it, so that
/// only grants made while a lease is in transit can overcommit an endpoint.
pub fn divide(demands: &[Demand]) -> Vec<Vec<u32>> {
    let mut want = shares(demands);
    let mut leases: Vec<Vec<u32>> = demands.iter().map(|demand| demand.held.clone()).collect();
    for (want, lease) in want.iter_mut().zip(&leases) {
        *want -= f64::from(lease.iter().sum::<u32>());
    }
    for endpoint in 0..engines(demands) {
        let taken: u32 = leases.iter().map(|lease| lease[endpoint]).sum();
        for _ in taken..setup::BATCH {
            let next = (0..want.len()).max_by(|&a, &b| want[a].total_cmp(&want[b]));
            let next = next.expect("there are hosts");
            want[next] -= 1.0;
            leases[next][endpoint] += 1;
        }
    }
    leases
}

/// Returns the number of slots that each host should have.
fn shares(demands: &[Demand]) -> Vec<f64> {
    let mut left = f64::from(setup::BATCH) * engines(demands) as f64;
    // A host without a slot would refuse its next request.
    let mut shares = vec![1.0; demands.len()];
    left -= demands.len() as f64;
    for tier in 0..3 {
        let sum: f64 = demands.iter().map(|demand| demand.wanted[tier]).sum();
        let part = (left / sum.max(1e-9)).min(1.0);
        for (share, demand) in shares.iter_mut().zip(demands) {
            *share += demand.wanted[tier] * part;
        }
        left -= sum * part;
    }
    let rest = left / demands.len() as f64;
    shares.iter().map(|share| share + rest).collect()
}

fn engines(demands: &[Demand]) -> usize {
    demands.first().map_or(0, |demand| demand.held.len())
}
