//! Property test of the policy with random inputs of every kind.

use core::time::Duration;
use std::collections;

use pool::{
    Action, Class, Current, Endpoint, EndpointId, Finish, Load, Options, Phase, Policy, Request,
    RequestId,
};
use rand::{RngExt, SeedableRng};

const MILLISECOND: Duration = Duration::from_millis(1);

fn options(rng: &mut impl rand::Rng) -> Options {
    let classes = (0..4).map(|_| Class {
        tier: rng.random_range(0..3),
        target_first: 200 * MILLISECOND,
        target_gap: Some(20 * MILLISECOND),
        floor: 0.05,
        starvation_window: 500 * MILLISECOND,
    });
    Options {
        classes: classes.collect(),
        weights: (0..5)
            .map(|team| (team, rng.random_range(0.0..4.0)))
            .collect(),
        queue_max: rng.random_range(5..100),
        long_tokens: 100,
        long_share: rng.random_range(0.0..1.0),
        seed: 3,
    }
}

struct World {
    shard: Current,
    rng: rand_pcg::Pcg64Mcg,
    queued: collections::BTreeSet<u64>,
    running: collections::BTreeMap<u64, u32>,
    slots: collections::BTreeMap<u32, u32>,
    out: Vec<Action>,
}

impl World {
    fn random_running(&mut self) -> Option<u64> {
        let count = self.running.len();
        let index = self.rng.random_range(0..count.max(1));
        self.running.keys().nth(index).copied()
    }

    fn set_endpoints(&mut self, now: Duration) {
        let mut set = Vec::new();
        self.slots.clear();
        for id in 0..6 {
            if self.rng.random_bool(0.8) {
                let phase = if self.rng.random_bool(0.8) {
                    Phase::Up
                } else {
                    Phase::Draining
                };
                let slots = self.rng.random_range(1..6);
                let open = phase == Phase::Up;
                self.slots.insert(id, if open { slots } else { 0 });
                set.push(Endpoint {
                    id: EndpointId(id),
                    phase,
                    slots,
                });
            }
        }
        self.shard.set_endpoints(now, &set, &mut self.out);
    }

    fn submit(&mut self, now: Duration, id: u64) {
        let rng = &mut self.rng;
        let request = Request {
            id: RequestId(id),
            class: rng.random_range(0..6),
            team: rng.random_range(0..8),
            caller: rng.random_range(0..3),
            prompt_tokens: rng.random_range(0..500),
            max_tokens: rng.random_bool(0.5).then(|| rng.random_range(1..300)),
            prefix_hash: rng.random_range(0..4),
            fingerprint: rng.random_range(0..200),
            deadline: now + rng.random_range(0..3_000) * MILLISECOND,
            attempt: u16::from(rng.random_bool(0.1)),
            avoid: rng
                .random_bool(0.1)
                .then(|| EndpointId(rng.random_range(0..6))),
        };
        self.queued.insert(id);
        self.shard.submit(now, request, &mut self.out);
    }

    fn finish(&mut self, now: Duration) {
        let Some(id) = self.random_running() else {
            return;
        };
        self.running.remove(&id);
        let outcome = match self.rng.random_range(0..20) {
            0 => pool::Outcome::Cancelled,
            1 => pool::Outcome::Refused,
            2 => pool::Outcome::Unreachable,
            3 => pool::Outcome::Failed,
            4 => pool::Outcome::Unused,
            _ => pool::Outcome::Complete,
        };
        let tokens = self.rng.random_range(0..400);
        self.shard.finish(
            now,
            RequestId(id),
            Finish { outcome, tokens },
            &mut self.out,
        );
    }

    fn report(&mut self, now: Duration) {
        let load = Load {
            running: self.rng.random_range(0..6),
            waiting: self.rng.random_range(0..2),
            slots: self.rng.random_range(0..8),
            is_draining: self.rng.random_bool(0.05),
            at: now.saturating_sub(self.rng.random_range(0..800) * MILLISECOND),
        };
        let id = EndpointId(self.rng.random_range(0..8));
        self.shard.record_load(now, id, load, &mut self.out);
    }

    fn step(&mut self, now: Duration, id: u64) {
        match self.rng.random_range(0..100) {
            0 => self.set_endpoints(now),
            1 => {
                let options = options(&mut self.rng);
                self.shard.configure(now, options);
            }
            2..=6 => {
                if let Some(&id) = self.queued.first() {
                    self.queued.remove(&id);
                    self.shard.cancel(now, RequestId(id), &mut self.out);
                }
            }
            7..=11 => self.report(now),
            12..=19 => self.shard.tick(now, &mut self.out),
            20..=35 => {
                if let Some(id) = self.random_running() {
                    self.shard.record_first_output(now, RequestId(id));
                }
            }
            36..=64 => self.finish(now),
            _ => self.submit(now, id),
        }
    }

    fn check(&mut self) {
        for action in self.out.drain(..) {
            match action {
                Action::Grant { request, endpoint } => {
                    assert!(
                        self.queued.remove(&request.0),
                        "{request:?} has two outcomes"
                    );
                    let held = self
                        .running
                        .values()
                        .filter(|&&id| id == endpoint.0)
                        .count();
                    let slots = self.slots.get(&endpoint.0).copied().unwrap_or(0);
                    assert!(held < slots as usize, "{held} of {slots} at {endpoint:?}");
                    self.running.insert(request.0, endpoint.0);
                }
                Action::Refuse { request, .. } => {
                    assert!(
                        self.queued.remove(&request.0),
                        "{request:?} has two outcomes"
                    );
                }
            }
        }
    }
}

/// Guards against wrong counts after some order of events: two outcomes of one
/// request, a grant beyond the slots, and requests that never end.
#[test]
fn any_order_of_events_keeps_the_counts() {
    for seed in 0..8 {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let mut world = World {
            shard: Current::new(&options(&mut rng)),
            rng,
            queued: collections::BTreeSet::new(),
            running: collections::BTreeMap::new(),
            slots: collections::BTreeMap::new(),
            out: Vec::new(),
        };
        world.set_endpoints(Duration::ZERO);
        world.check();
        for step in 1..20_000_u32 {
            let now = step * 3 * MILLISECOND;
            world.step(now, u64::from(step));
            world.check();
            let stats = world.shard.stats(now);
            let held: u32 = stats.in_flight.iter().map(|&(_, count)| count).sum();
            assert_eq!(
                held as usize,
                world.running.len(),
                "seed {seed}, step {step}"
            );
            let queued: usize = stats.queued.iter().sum();
            assert_eq!(queued, world.queued.len(), "seed {seed}, step {step}");
        }
        world.shard.tick(Duration::from_secs(100), &mut world.out);
        world.check();
        assert!(world.queued.is_empty(), "every deadline has passed");
    }
}
