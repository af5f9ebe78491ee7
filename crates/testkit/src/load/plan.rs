use core::time;

use rand::RngExt as _;
use rand::SeedableRng as _;

use crate::load::arrival::Arrival;
use crate::load::flow::Flow;

/// Latest time of an early hang-up after the request was sent.
const HANGUP_MAX: time::Duration = time::Duration::from_millis(800);

/// Draws the arrivals of all flows within `span`, in chronological order.
///
/// Each flow is a Poisson process whose rate follows [`Flow::swing`]. The arrivals of a flow
/// depend only on the flow, its index and the seed.
pub fn plan(flows: &[Flow], span: time::Duration, seed: u64) -> Vec<Arrival> {
    let mut arrivals: Vec<_> = flows
        .iter()
        .enumerate()
        .flat_map(|(index, flow)| draw(flow, index, span, seed))
        .collect();
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn draw(flow: &Flow, index: usize, span: time::Duration, seed: u64) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    let peak = flow.rate * flow.swing.max();
    if peak <= 0.0 {
        return arrivals;
    }
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed ^ ((index as u64 + 1) << 48));
    let mut at = 0.0;
    loop {
        at -= (1.0 - rng.random::<f64>()).ln() / peak;
        if at >= span.as_secs_f64() {
            return arrivals;
        }
        let moment = time::Duration::from_secs_f64(at);
        let arrival = Arrival {
            at: moment,
            flow: index,
            caller: rng.random_range(0..flow.callers.max(1)),
            draw: rng.random(),
            size: rng.random(),
            hangup: hangup(flow, &mut rng),
        };
        // Thinning: a candidate is kept with the probability of current rate to peak rate.
        if rng.random::<f64>() * flow.swing.max() < flow.swing.factor(moment) {
            arrivals.push(arrival);
        }
    }
}

fn hangup(flow: &Flow, rng: &mut rand_pcg::Pcg64Mcg) -> Option<time::Duration> {
    let chance: f64 = rng.random();
    let delay = HANGUP_MAX.mul_f64(rng.random());
    (chance < flow.hangups).then_some(delay)
}
