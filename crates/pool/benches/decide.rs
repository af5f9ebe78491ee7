//! Time of one admission with one endpoint choice, and of one tick, in a loaded
//! shard.

use core::time::Duration;
use std::hint;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use pool::{
    Action, Class, Current, Endpoint, EndpointId, Finish, Options, Phase, Policy, Request,
    RequestId,
};
use rand::{RngExt, SeedableRng};

const SECOND: Duration = Duration::from_secs(1);
const TEAMS: u32 = 2_500;
const CALLERS: u64 = 8;
/// Slots per endpoint.
const SLOTS: u32 = 32;

/// Shard in which every slot is in use and `queued` requests wait.
struct Shard {
    policy: Current,
    rng: rand_pcg::Pcg64Mcg,
    running: std::collections::VecDeque<RequestId>,
    last_id: u64,
    out: Vec<Action>,
    now: Duration,
}

impl Shard {
    fn new(endpoints: u32, queued: usize) -> Self {
        let classes = (0..4).map(|tier| Class {
            tier,
            target_first: 10 * SECOND,
            target_gap: None,
            floor: 0.05,
            starvation_window: 3_600 * SECOND,
        });
        let options = Options {
            classes: classes.collect(),
            weights: (0..TEAMS)
                .map(|team| (team, f64::from(1 + team % 5)))
                .collect(),
            queue_max: 1_000_000,
            long_tokens: 1_000,
            long_share: 0.5,
            seed: 1,
        };
        let mut shard = Self {
            policy: Current::new(&options),
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(1),
            running: std::collections::VecDeque::new(),
            last_id: 0,
            out: Vec::new(),
            now: SECOND,
        };
        let set: Vec<_> = (0..endpoints)
            .map(|id| Endpoint {
                id: EndpointId(id),
                phase: Phase::Up,
                slots: SLOTS,
            })
            .collect();
        shard.policy.set_endpoints(SECOND, &set, &mut shard.out);
        for _ in 0..queued + (endpoints * SLOTS) as usize {
            shard.admit();
        }
        shard
    }

    /// Submits one request, which is queued once all slots are in use.
    fn admit(&mut self) {
        self.last_id += 1;
        let request = Request {
            id: RequestId(self.last_id),
            class: self.rng.random_range(0..4),
            team: self.rng.random_range(0..TEAMS),
            caller: self.rng.random_range(0..CALLERS),
            prompt_tokens: 200,
            max_tokens: Some(self.rng.random_range(50..500)),
            prefix_hash: self.rng.random_range(1..5_000),
            fingerprint: self.last_id,
            deadline: self.now + self.rng.random_range(100_000..200_000) * SECOND,
            attempt: 0,
            avoid: None,
        };
        self.policy.submit(self.now, request, &mut self.out);
        self.record_grants();
    }

    /// Completes one running request, whose slot goes to a queued one.
    fn complete(&mut self) {
        let Some(id) = self.running.pop_front() else {
            return;
        };
        let finish = Finish {
            outcome: pool::Outcome::Complete,
            tokens: 200,
        };
        self.policy.finish(self.now, id, finish, &mut self.out);
        self.record_grants();
    }

    fn record_grants(&mut self) {
        for action in self.out.drain(..) {
            if let Action::Grant { request, .. } = action {
                self.running.push_back(request);
            }
        }
    }

    /// Admits one request and completes one, which keeps the length of the queue.
    fn step(&mut self) {
        self.now += Duration::from_micros(250);
        self.admit();
        self.complete();
    }
}

fn decide(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decide");
    for endpoints in [32, 600] {
        for queued in [1_000, 10_000, 100_000] {
            let mut shard = Shard::new(endpoints, queued);
            let id = BenchmarkId::new(format!("{endpoints} endpoints"), queued);
            group.bench_function(id, |bencher| {
                bencher.iter(|| hint::black_box(&mut shard).step());
            });
            let left: usize = shard.policy.stats(shard.now).queued.iter().sum();
            assert_eq!(left, queued, "the queue must keep its length");
        }
    }
    group.finish();
}

fn tick(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("tick");
    for endpoints in [32, 600] {
        let mut shard = Shard::new(endpoints, 10_000);
        group.bench_function(BenchmarkId::from_parameter(endpoints), |bencher| {
            let step = Duration::from_millis(20);
            let shard = &mut shard;
            bencher.iter_batched(
                || (),
                |()| {
                    shard.now += step;
                    shard.policy.tick(shard.now, &mut shard.out);
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, decide, tick);
criterion_main!(benches);
