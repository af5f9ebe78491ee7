//! Tests of the choice of hosts that send requests for others.

use core::time;
use std::collections;
use std::net;

use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

const SERVICE: u64 = 1;

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn host(data_centre: usize, index: usize) -> net::SocketAddr {
    ([10, data_centre as u8, 0, index as u8], 7_200).into()
}

fn hosts(data_centre: usize, count: usize) -> Vec<net::SocketAddr> {
    (0..count).map(|index| host(data_centre, index)).collect()
}

// Guards against bytes between data centres while a near host reaches the service.
#[test]
fn near_hosts_are_asked_before_far_ones() {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
    let (near, far) = (hosts(0, 12), hosts(1, 4));
    let mut known = fleet::Forwarders::default();
    let first = known.candidates(ms(0), SERVICE, &near, &far, &mut rng)[0];
    assert!(near.contains(&first));
    known.record(ms(0), far[0], SERVICE, fleet::Verdict::Reaches);
    for host in &near[..10] {
        known.record(ms(0), *host, SERVICE, fleet::Verdict::Reaches);
    }
    let candidates = known.candidates(ms(10), SERVICE, &near, &far, &mut rng);
    assert!(near[..10].contains(&candidates[0]));
}

// Guards against round trips to hosts that have just declined, and against hosts that are
// left out for good.
#[rstest]
#[case::busy(fleet::Verdict::Busy, 300)]
#[case::cut_off(fleet::Verdict::CutOff, 1_000)]
#[case::silent(fleet::Verdict::Silent, 2_000)]
#[case::incapable(fleet::Verdict::Incapable, 10_000)]
fn a_host_that_declined_is_left_out_for_a_time(#[case] verdict: fleet::Verdict, #[case] life: u64) {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(2);
    let near = hosts(0, 2);
    let mut known = fleet::Forwarders::default();
    known.record(ms(0), near[0], SERVICE, verdict);
    let mut at = |now| known.candidates(ms(now), SERVICE, &near, &[], &mut rng);
    assert_eq!(at(life - 1), [near[1]]);
    assert_eq!(at(life).len(), 2);
}

// Guards against a verdict on one service that leaves a host out for another one.
#[test]
fn verdicts_hold_for_one_service() {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(3);
    let near = hosts(0, 1);
    let mut known = fleet::Forwarders::default();
    known.record(ms(0), near[0], SERVICE, fleet::Verdict::CutOff);
    let other = known.candidates(ms(1), SERVICE + 1, &near, &[], &mut rng);
    assert_eq!(other, near);
}

/// Hosts that are cut off, as many as there are data centres times hosts in each.
const DATA_CENTRES: usize = 6;
const EACH: usize = 49;

// Guards against hosts that do not find the few that reach the endpoints, and against all
// of them leaning on the same one. The hosts of some data centres are cut off as a whole.
#[rstest]
#[case::half(0.5, 0)]
#[case::nine_in_ten(0.9, 0)]
#[case::nine_in_ten_and_whole_data_centres(0.9, 4)]
fn many_hosts_spread_over_the_few_that_reach_the_service(#[case] share: f64, #[case] whole: usize) {
    for seed in 0..5 {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let all: Vec<_> = (0..DATA_CENTRES).map(|index| hosts(index, EACH)).collect();
        let reaching: collections::HashSet<_> = all
            .iter()
            .skip(whole)
            .flatten()
            .copied()
            .filter(|_| rng.random_bool(1.0 - share))
            .collect();
        let is_cut = |host: &net::SocketAddr| !reaching.contains(host);
        let cut: Vec<_> = all.iter().flatten().copied().filter(is_cut).collect();
        let mut known: collections::HashMap<_, fleet::Forwarders> =
            cut.iter().map(|host| (*host, Default::default())).collect();
        let mut loads: collections::HashMap<net::SocketAddr, usize> = Default::default();
        let (mut sent, mut found, mut asked) = (0, 0, 0);
        // A millisecond is one request; the hosts get three a second each.
        let requests = cut.len() * 3 * 6;
        for number in 0..requests {
            let now = ms((number * 6_000 / requests) as u64);
            let own = *cut.iter().choose(&mut rng).expect("a host");
            let data_centre = usize::from(match own.ip() {
                net::IpAddr::V4(ip) => ip.octets()[1],
                net::IpAddr::V6(_) => unreachable!("addresses are of version 4"),
            });
            let near: Vec<_> = all[data_centre]
                .iter()
                .copied()
                .filter(|host| *host != own)
                .collect();
            let far = all.iter().enumerate();
            let far = far.filter(|(index, _)| *index != data_centre);
            let far: Vec<_> = far.flat_map(|(_, hosts)| hosts).copied().collect();
            let known = known.get_mut(&own).expect("known");
            let candidates = known.candidates(now, SERVICE, &near, &far, &mut rng);
            let is_judged = now >= ms(3_000);
            sent += usize::from(is_judged);
            for candidate in candidates {
                asked += usize::from(is_judged);
                if reaching.contains(&candidate) {
                    known.record(now, candidate, SERVICE, fleet::Verdict::Reaches);
                    *loads.entry(candidate).or_default() += 1;
                    found += usize::from(is_judged);
                    break;
                }
                known.record(now, candidate, SERVICE, fleet::Verdict::CutOff);
            }
        }
        assert!(found as f64 >= 0.9 * sent as f64, "{found} of {sent}");
        assert!(asked <= 4 * sent, "{asked} hosts asked for {sent} requests");
        let most = loads.values().copied().max().unwrap_or(0);
        let mean = requests / reaching.len();
        assert!(most <= 3 * mean, "{most} at one host, {mean} on average");
    }
}
