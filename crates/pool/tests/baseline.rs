//! Tests of the first-come, first-served baseline.

use core::time::Duration;
use std::collections;

use pool::{
    Action, Baseline, Endpoint, EndpointId, Finish, Options, Phase, Policy, Request, RequestId,
};

fn options() -> Options {
    Options {
        classes: Vec::new(),
        weights: collections::HashMap::new(),
        queue_max: 2,
        long_tokens: 1_000,
        long_share: 0.5,
        seed: 1,
    }
}

fn request(id: u64) -> Request {
    Request {
        id: RequestId(id),
        class: 0,
        team: 0,
        caller: 0,
        prompt_tokens: 1,
        max_tokens: None,
        prefix_hash: 0,
        fingerprint: 0,
        deadline: Duration::from_secs(5),
        attempt: 0,
        avoid: None,
    }
}

/// Guards against a slot that is not freed, or freed twice, when a request ends.
#[test]
fn slots_are_granted_in_arrival_order_and_freed_once() {
    let mut shard = Baseline::new(&options());
    let mut out = Vec::new();
    let endpoint = Endpoint {
        id: EndpointId(7),
        phase: Phase::Up,
        slots: 1,
    };
    shard.set_endpoints(Duration::ZERO, &[endpoint], &mut out);
    for id in 1..=4 {
        shard.submit(Duration::ZERO, request(id), &mut out);
    }
    let granted = Action::Grant {
        request: RequestId(1),
        endpoint: EndpointId(7),
    };
    assert_eq!(out[0], granted);
    assert!(matches!(
        out[1],
        Action::Refuse {
            request: RequestId(4),
            kind: answer::Kind::Overload,
            ..
        }
    ));
    assert_eq!(out.len(), 2);

    out.clear();
    let finish = Finish {
        outcome: pool::Outcome::Complete,
        tokens: 3,
    };
    shard.finish(Duration::ZERO, RequestId(1), finish, &mut out);
    shard.finish(Duration::ZERO, RequestId(1), finish, &mut out);
    assert_eq!(
        out.len(),
        1,
        "a second end of the same request frees nothing"
    );
}
