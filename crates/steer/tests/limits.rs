//! Tests of endpoints that state how many requests a second they take from all hosts.

mod common;

use common::{Host, interactive, ms};
use rand::{RngExt, SeedableRng};
use rstest::rstest;

/// Window in which the requests of all hosts are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Returns the most requests that an endpoint may get in the window.
fn allowed(per_s: f64) -> f64 {
    per_s * WINDOW_MS as f64 / 1_000.0 * 1.5 + 5.0
}

/// Hosts before a single endpoint.
struct Fleet {
    hosts: Vec<Host>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let hosts = (0..count as u64).map(|seed| Host::new(seed, "dc0", 1));
        Self {
            hosts: hosts.collect(),
        }
    }

    /// Lets a host receive an answer to a request that it sends now.
    fn answer(&mut self, now: u64, host: usize, per_s: Option<f64>) -> bool {
        let host = &mut self.hosts[host];
        let Some(pick) = host.send(now, &interactive(now)) else {
            return false;
        };
        host.drain(now);
        let sent = ms(now);
        host.balancer
            .record_limit(ms(now + 20), pick.key, sent, per_s);
        true
    }

    /// Tells all hosts what one of them knows.
    fn tell(&mut self, now: u64, from: usize) {
        let limits = self.hosts[from].balancer.limits(ms(now));
        for host in &mut self.hosts {
            host.balancer.apply_limits(ms(now), &limits);
        }
        self.share(now);
    }

    fn share(&mut self, now: u64) {
        let count = self.hosts.len();
        for (position, host) in self.hosts.iter_mut().enumerate() {
            host.balancer
                .share_limits(ms(now), count, |_| Some(position));
        }
    }
}

/// Guards against hosts that together send more than an endpoint takes, at once after
/// a quiet time or evenly.
#[rstest]
fn the_hosts_together_keep_the_limit(
    #[values(1, 15, 96, 295)] hosts: usize,
    #[values(0.0, 0.3, 1.0, 4.5, 40.0)] per_s: f64,
    #[values(1, 400)] requests: usize,
) {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(7);
    let mut fleet = Fleet::new(hosts);
    assert!(fleet.answer(0, 0, Some(per_s)));
    fleet.tell(20, 0);
    let mut sent: Vec<u64> = Vec::new();
    // Callers come in bursts with pauses in between, or one after the other.
    let pause = if requests == 1 { 5 } else { 2_500 };
    for now in (100..20_000).step_by(pause) {
        fleet.share(now);
        for _ in 0..requests {
            let host = rng.random_range(0..hosts);
            if fleet.answer(now, host, Some(per_s)) {
                sent.push(now);
            }
        }
    }
    for start in &sent {
        let within = sent
            .iter()
            .filter(|at| (*start..start + WINDOW_MS).contains(at));
        let count = within.count();
        assert!(count as f64 <= allowed(per_s), "{count} at {start} ms");
    }
    // Evenly spread callers get most of what the endpoint takes, if it is worth it
    // and the hosts that take it have them.
    if requests == 1 && hosts <= 15 && per_s >= 1.0 {
        let most = per_s * 19.9;
        assert!(sent.len() as f64 > most * 0.6, "{} of {most}", sent.len());
    }
}

/// Guards against an endpoint that is left alone for good after its need.
#[test]
fn the_end_of_a_limit_is_learned_and_told() {
    let mut fleet = Fleet::new(6);
    assert!(fleet.answer(0, 5, Some(1.0)));
    fleet.tell(20, 5);
    assert!(
        !fleet.answer(100, 5, None),
        "the last host leaves it to others"
    );
    let wait = (1..200).map(|step| step * 100);
    let answered = wait.into_iter().find(|&now| fleet.answer(now, 0, None));
    let at = answered.expect("a request of the first host within 20 s") + 20;
    fleet.tell(at, 0);
    assert!((0..6).all(|host| fleet.answer(at + 1, host, None)));
    assert!(fleet.hosts[3].balancer.limited(ms(at)).is_empty());
}

/// Guards against a limit that ends with the late answer to a request from before it.
#[test]
fn an_answer_to_an_older_request_does_not_end_a_limit() {
    let mut host = Host::new(1, "dc0", 1);
    let pick = host.send(0, &interactive(0)).expect("endpoint");
    let other = host.send(0, &interactive(1)).expect("endpoint");
    let first = host
        .balancer
        .record_limit(ms(50), pick.key, ms(0), Some(2.0));
    assert!(first.is_some());
    let late = host.balancer.record_limit(ms(60), other.key, ms(0), None);
    assert_eq!(late, None);
    assert_eq!(host.balancer.limited(ms(60)).len(), 1);
}

/// Guards against the limit of a process that is applied to the next one under its id,
/// and against old news that replaces newer.
#[test]
fn limits_of_other_processes_and_older_ones_have_no_effect() {
    let mut host = Host::new(1, "dc0", 1);
    let pick = host.send(0, &interactive(0)).expect("endpoint");
    host.balancer
        .record_limit(ms(1_000), pick.key, ms(0), Some(2.0));
    let known = host.balancer.limits(ms(1_000))[0];
    let of = |started_ms, per_s, age_ms| steer::Limit {
        started_ms,
        per_s,
        age_ms,
        ..known
    };
    let mut other = Host::new(2, "dc0", 1);
    for limit in [of(77, Some(1.0), 0), of(0, None, 900)] {
        assert!(
            !host.balancer.apply_limits(ms(1_500), &[limit]),
            "{limit:?}"
        );
        other.balancer.apply_limits(ms(1_500), &[limit]);
        assert!(other.balancer.limited(ms(1_500)).is_empty());
    }
    assert!(host.balancer.apply_limits(ms(1_500), &[of(0, None, 100)]));
    assert!(host.balancer.limited(ms(1_500)).is_empty());
}

/// Guards against hosts that have missed the end of a limit, for instance while they
/// were cut off, and never send to the endpoint again.
#[test]
fn a_host_without_news_tries_the_endpoint_again() {
    let mut fleet = Fleet::new(20);
    assert!(fleet.answer(0, 0, Some(2.0)));
    fleet.tell(20, 0);
    let mut tries = Vec::new();
    for now in (0..90_000).step_by(200) {
        fleet.share(now);
        if fleet.answer(now, 19, None) {
            tries.push(now);
            break;
        }
    }
    let first = tries.first().copied().expect("a try within 90 s");
    assert!(first > 30_000, "{first} ms");
    assert!(fleet.hosts[19].balancer.limited(ms(first + 20)).is_empty());
}

/// Guards against a refusal that tells callers to come back before any host may send,
/// or not when.
#[test]
fn a_request_beyond_the_limit_is_refused_with_the_time_to_come_back() {
    let mut fleet = Fleet::new(1);
    assert!(fleet.answer(0, 0, Some(0.5)));
    fleet.tell(20, 0);
    let decision = fleet.hosts[0].pick(100, &interactive(2), 0.5);
    let steer::Decision::Refused(refusal) = decision else {
        panic!("{decision:?}");
    };
    assert!(refusal.retry_after >= ms(1_600), "{refusal:?}");
    assert!(refusal.retry_after <= ms(2_800), "{refusal:?}");
}

/// Guards against callers that are kept away from the hosts that may send, because the
/// host that they asked has no share in the limit.
#[test]
fn a_host_without_a_share_sends_callers_elsewhere_soon() {
    let mut fleet = Fleet::new(20);
    assert!(fleet.answer(0, 0, Some(1.0)));
    fleet.tell(20, 0);
    let decision = fleet.hosts[19].pick(100, &interactive(2), 0.5);
    let steer::Decision::Refused(refusal) = decision else {
        panic!("{decision:?}");
    };
    assert!(refusal.retry_after >= ms(500), "{refusal:?}");
    assert!(refusal.retry_after <= ms(650), "{refusal:?}");
}
