//! A delta turns one plan into another and costs what differs.

use core::time;

use proptest::prelude::*;
use rstest::rstest;

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn route(number: usize, weight: u32) -> plan::Route {
    plan::Route {
        name: format!("route-{number}"),
        host: "shop.example".into(),
        prefix: format!("/p{number}/"),
        targets: vec![plan::Target {
            service: "s".into(),
            weight,
        }],
        kind: plan::Kind::Idempotent,
        timeout: ms(2_000),
        target_first: ms(300),
        target_gap: None,
        attempts_max: 2,
        tier: 1,
        is_public: false,
    }
}

fn service(number: usize, event_tokens: u32) -> plan::Service {
    plan::Service {
        name: format!("service-{number}"),
        health_path: "/health".into(),
        connections_max: 100,
        engine: Some(plan::Engine {
            kv_capacity_tokens: 1_000,
            event_tokens,
            kv_token_bytes: 131_072,
        }),
        cold: Some(plan::Cold {
            start: ms(3_000),
            per_s: 2.5,
        }),
    }
}

fn team(number: usize, keys: impl IntoIterator<Item = usize>) -> plan::Team {
    plan::Team {
        name: format!("team-{number}"),
        keys: keys.into_iter().map(|key| format!("key-{key}")).collect(),
        tier: None,
    }
}

fn large() -> plan::Plan {
    plan::Plan {
        era: 0,
        revision: 31,
        routes: (0..5_650).map(|number| route(number, 1)).collect(),
        services: (0..3).map(|number| service(number, 6)).collect(),
        limits: plan::Limits::default(),
        teams: vec![team(0, 0..9_000), team(1, 9_000..18_000)],
    }
}

fn encoded(delta: &plan::Delta) -> usize {
    postcard::to_allocvec(delta).expect("encoded").len()
}

/// Change of one thing.
type Change = fn(&mut plan::Plan);

#[rstest]
#[case::nothing(|_: &mut plan::Plan| ())]
#[case::a_route_moves(|plan: &mut plan::Plan| plan.routes[2_000].targets[0].service = "t".into())]
#[case::a_route_is_added(|plan: &mut plan::Plan| plan.routes.insert(100, route(9_999, 1)))]
#[case::a_route_is_removed(|plan: &mut plan::Plan| { plan.routes.remove(100); })]
#[case::a_route_goes_first(|plan: &mut plan::Plan| { let last = plan.routes.pop(); plan.routes.insert(0, last.expect("a route")); })]
#[case::a_key_is_revoked(|plan: &mut plan::Plan| { plan.teams[0].keys.remove(4_000); })]
#[case::a_key_is_added(|plan: &mut plan::Plan| plan.teams[0].keys.push("new".into()))]
#[case::a_team_is_removed(|plan: &mut plan::Plan| { plan.teams.remove(0); })]
#[case::a_service_changes(|plan: &mut plan::Plan| plan.services[1] = service(1, 7))]
#[case::a_service_is_never_cold(|plan: &mut plan::Plan| plan.services[1].cold = None)]
#[case::limits_change(|plan: &mut plan::Plan| plan.limits.body_bytes = 7)]
fn a_change_of_one_thing_costs_little_beside_thousands_of_others(#[case] change: Change) {
    // Guards against changes that cost every host the whole configuration.
    let before = large();
    let mut after = large();
    after.revision = 33;
    change(&mut after);
    let delta = plan::Delta::new(&before, &after);
    let bytes = encoded(&delta);
    assert!(bytes < 256, "{bytes} bytes");
    assert_eq!(delta.apply(&before), Ok(after));
}

#[test]
fn a_growth_costs_its_own_size() {
    let before = large();
    let mut after = large();
    let more: Vec<_> = (6_000..7_400).map(|number| route(number, 1)).collect();
    let own = postcard::to_allocvec(&more).expect("encoded").len();
    after.routes.extend(more);
    let delta = plan::Delta::new(&before, &after);
    let bytes = encoded(&delta);
    assert!(bytes < own + 4_096, "{bytes} bytes for {own}");
    assert_eq!(delta.apply(&before), Ok(after));
}

#[test]
fn a_delta_of_another_plan_is_an_error() {
    let mut after = large();
    after.revision = 33;
    let delta = plan::Delta::new(&large(), &after);
    let mut other = large();
    other.routes.truncate(10);
    assert_eq!(delta.apply(&other), Err(plan::delta::Error::Range));
}

#[test]
fn keys_that_no_team_has_are_an_error() {
    let mut after = large();
    after.teams[1].keys.push("new".into());
    let delta = plan::Delta::new(&large(), &after);
    let mut other = large();
    other.teams[0].keys.insert(0, "other".into());
    other.teams[1].keys.truncate(1);
    assert!(delta.apply(&other).is_err());
}

prop_compose! {
    fn any_plan()(
        routes in prop::collection::vec((0usize..12, 1u32..3), 0..16),
        services in prop::collection::vec((0usize..4, 1u32..3), 0..4),
        teams in prop::collection::vec((0usize..4, prop::collection::vec(0usize..9, 0..5)), 0..5),
        body_bytes in 1u64..3,
    ) -> plan::Plan {
        plan::Plan {
            era: 2,
            revision: 7,
            routes: routes.into_iter().map(|(number, weight)| route(number, weight)).collect(),
            services: services.into_iter().map(|(number, tokens)| service(number, tokens)).collect(),
            limits: plan::Limits { body_bytes, ..plan::Limits::default() },
            teams: teams.into_iter().map(|(number, keys)| team(number, keys)).collect(),
        }
    }
}

proptest! {
    #[test]
    fn any_plan_follows_from_any_other(before in any_plan(), after in any_plan()) {
        let delta = plan::Delta::new(&before, &after);
        let bytes = postcard::to_allocvec(&delta).expect("encoded");
        let delta: plan::Delta = postcard::from_bytes(&bytes).expect("decoded");
        prop_assert_eq!(delta.apply(&before), Ok(after));
    }
}
