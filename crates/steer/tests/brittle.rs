//! Tests of endpoints that fall over if they have to refuse requests.

use core::time;
use std::collections;

use rand::{RngExt, SeedableRng};
use rstest::rstest;

const SERVICE: &str = "orders";
const HOSTS: usize = 9;
const ENDPOINTS: usize = 3;
const SLOTS: u32 = 6;

/// Time of a request at an endpoint, in milliseconds.
const WORK_MS: u64 = 60;

/// Age of the loads of other hosts when they arrive.
const LOADS_MS: u64 = 150;

/// Refusals in a second that an endpoint bears.
const REFUSALS: u32 = 10;

/// Most falls in a time in which the endpoints say that they are brittle.
const FALLS_MAX: usize = 2 + ENDPOINTS / 10;

/// Time after the first answer that says so from which the hosts must have reacted.
const NOTICE_MS: u64 = 3_000;

/// Time after which an endpoint that fell over is back.
const FALLEN_MS: u64 = 3_000;

/// Length of a play.
const PLAYED_MS: u64 = 20_000;

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

struct Host {
    balancer: steer::Balancer,
    /// Requests with their ends.
    runs: Vec<(u64, Taken, steer::Run)>,
}

/// What became of a request at an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Taken {
    Run,
    Refused,
    Unreachable,
}

/// An endpoint that lets no request wait, and falls over after too many refusals.
#[derive(Default)]
struct Endpoint {
    ends: Vec<u64>,
    refusals: Vec<u64>,
    back_at: u64,
    /// Number of times that it fell over after the notice.
    falls: usize,
}

impl Endpoint {
    fn take(&mut self, now: u64) -> Taken {
        self.ends.retain(|end| *end > now);
        if now < self.back_at {
            return Taken::Unreachable;
        }
        if self.ends.len() < SLOTS as usize {
            self.ends.push(now + WORK_MS);
            return Taken::Run;
        }
        self.refusals.retain(|at| *at + 1_000 > now);
        self.refusals.push(now);
        if self.refusals.len() > REFUSALS as usize {
            self.refusals.clear();
            self.ends.clear();
            self.back_at = now + FALLEN_MS;
            self.falls += usize::from(now >= NOTICE_MS);
        }
        Taken::Refused
    }
}

/// Plays hosts before endpoints that say how many refusals they bear. `per_s` is the
/// number of requests in a second at all hosts; the endpoints take 300. Returns how often
/// they fell over and how many requests were served.
fn play(seed: u64, per_s: u64, states: bool) -> (usize, usize) {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let list: Vec<plan::Endpoint> = (0..ENDPOINTS)
        .map(|index| plan::Endpoint {
            id: format!("e{index}"),
            service: SERVICE.into(),
            address: ([127, 0, 0, 1], 1_000 + index as u16).into(),
            data_centre: "dc".into(),
            slots: SLOTS,
            phase: plan::Phase::Up,
            started_ms: 1,
            build: None,
        })
        .collect();
    let mut hosts: Vec<Host> = (0..HOSTS)
        .map(|_| {
            let mut balancer = steer::Balancer::new(steer::Options {
                data_centre: "dc".into(),
                ..steer::Options::default()
            });
            balancer.replace(&list);
            Host {
                balancer,
                runs: Vec::new(),
            }
        })
        .collect();
    let mut endpoints: Vec<Endpoint> = (0..ENDPOINTS).map(|_| Endpoint::default()).collect();
    let objective = steer::Objective {
        urgency: 0.5,
        remaining: ms(800),
        target_first: ms(300),
    };
    let mut served = 0;
    let mut news: collections::VecDeque<(u64, usize, Vec<steer::Load>)> = Default::default();
    for now in 0..PLAYED_MS {
        for host in &mut hosts {
            let done: Vec<_> = host.runs.extract_if(.., |run| run.0 <= now).collect();
            for (_, taken, mut run) in done {
                let end = match taken {
                    Taken::Run => steer::End::Served,
                    Taken::Refused => steer::End::Full,
                    Taken::Unreachable => steer::End::Unreachable,
                };
                if taken == Taken::Run {
                    host.balancer.record_first_event(ms(now), &mut run);
                }
                host.balancer.finish(ms(now), run, end);
            }
        }
        if now % LOADS_MS == 0 {
            for (index, host) in hosts.iter().enumerate() {
                news.push_back((now + LOADS_MS, index, host.balancer.loads(ms(now))));
            }
        }
        while news.front().is_some_and(|(at, ..)| *at <= now) {
            let (_, from, loads) = news.pop_front().expect("news");
            let others = hosts.iter_mut().enumerate();
            for (_, host) in others.filter(|(index, _)| *index != from) {
                host.balancer.apply_loads(ms(now), from as u64, &loads);
            }
        }
        if !rng.random_bool(per_s as f64 / 1_000.0) {
            continue;
        }
        let host = &mut hosts[rng.random_range(0..HOSTS)];
        let work = steer::Work::default();
        let picked = host
            .balancer
            .pick(ms(now), SERVICE, &work, objective, &[], &mut rng);
        let steer::Decision::Selected(pick) = picked else {
            continue;
        };
        let run = host.balancer.start(ms(now), &pick, &work);
        let index: usize = pick.id[1..].parse().expect("number");
        let endpoint = &mut endpoints[index];
        let taken = endpoint.take(now);
        let end = match taken {
            Taken::Run => now + WORK_MS,
            Taken::Refused | Taken::Unreachable => now + 2,
        };
        served += usize::from(taken == Taken::Run && now >= NOTICE_MS);
        host.runs.push((end, taken, run));
        if taken == Taken::Unreachable {
            continue;
        }
        if states {
            let brittle = Some(REFUSALS);
            host.balancer.record_brittle(ms(now), pick.key, brittle);
        }
        let report = steer::Report {
            running: endpoint.ends.len() as u32,
            waiting: 0,
            slowness_percent: 100,
        };
        host.balancer.record_report(ms(now), pick.key, report);
    }
    let falls = endpoints.iter().map(|endpoint| endpoint.falls).sum();
    (falls, served)
}

// Guards against endpoints that fall over because hosts try them although they are full,
// and against hosts that leave their slots unused instead.
#[rstest]
#[case::half_of_what_they_take(150)]
#[case::as_much_as_they_take(300)]
#[case::twice_as_much(600)]
#[case::three_times_as_much(900)]
fn hosts_together_keep_below_the_refusals_that_brittle_endpoints_bear(#[case] per_s: u64) {
    for seed in 0..10 {
        let (falls, served) = play(seed, per_s, true);
        let (_, usual) = play(seed, per_s, false);
        assert!(falls <= FALLS_MAX, "fell over {falls} times, seed {seed}");
        assert!(
            served as f64 >= 0.9 * usual as f64,
            "{served} served, {usual} if hosts ignore the statement, seed {seed}"
        );
    }
}
