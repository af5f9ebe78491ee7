//! Guards against requests that are assigned to the wrong route, team, service or
//! rank.

use core::time;

use rstest::rstest;

fn route(name: &str, prefix: &str, targets: &[(&str, u32)]) -> plan::Route {
    plan::Route {
        name: name.into(),
        host: "shop.example".into(),
        prefix: prefix.into(),
        targets: targets
            .iter()
            .map(|&(service, weight)| plan::Target {
                service: service.into(),
                weight,
            })
            .collect(),
        kind: plan::Kind::Idempotent,
        timeout: time::Duration::from_secs(1),
        target_first: time::Duration::from_millis(300),
        target_gap: None,
        attempts_max: 2,
        tier: 1,
        is_public: name == "open",
    }
}

fn table() -> plan::Table {
    plan::Table::new(plan::Plan {
        era: 0,
        revision: 1,
        routes: vec![
            route("short", "/a/", &[("one", 1)]),
            route("long", "/a/b/", &[("one", 90), ("two", 10)]),
            route("open", "/open/", &[("one", 0)]),
        ],
        teams: vec![plan::Team {
            name: "north".into(),
            keys: vec!["k1".into(), "k2".into()],
            tier: Some(0),
        }],
        ..plan::Plan::default()
    })
}

#[rstest]
#[case("shop.example", "/a/x", Some("short"))]
#[case("shop.example:8080", "/a/b/x", Some("long"))]
#[case("SHOP.example", "/a/b/", Some("long"))]
#[case("shop.example", "/a/bc", Some("short"))]
#[case("shop.example", "/a", None)]
#[case("other.example", "/a/x", None)]
fn the_route_with_the_longest_matching_prefix_applies(
    #[case] host: &str,
    #[case] path: &str,
    #[case] name: Option<&str>,
) {
    let table = table();
    let found = table.route(host, path).map(|route| route.name.as_str());
    assert_eq!(found, name);
}

#[test]
fn an_invalid_key_is_rejected_except_on_public_routes() {
    let table = table();
    let route = |path| table.route("shop.example", path).expect("route");
    assert!(matches!(
        table.caller(route("/a/x"), Some("k2")),
        plan::Caller::Member(team) if team.name == "north"
    ));
    assert_eq!(
        table.caller(route("/a/x"), None),
        plan::Caller::Unauthenticated
    );
    assert_eq!(
        table.caller(route("/a/x"), Some("k3")),
        plan::Caller::Unauthenticated
    );
    assert_eq!(
        table.caller(route("/open/x"), Some("k3")),
        plan::Caller::Anonymous
    );
}

#[test]
fn weights_divide_requests_and_a_retry_goes_to_the_same_service() {
    let table = table();
    let route = table.route("shop.example", "/a/b/x").expect("route");
    let two = (0..10_000u32)
        .filter(|id| table.target(route, &id.to_le_bytes()) == Some("two"))
        .count();
    assert!(
        (800..1_200).contains(&two),
        "{two} of 10000 went to the second service"
    );
    assert_eq!(table.target(route, b"id"), table.target(route, b"id"));
    let none = table.route("shop.example", "/open/x").expect("route");
    assert_eq!(table.target(none, b"id"), None);
}

/// Returns a plan in which two teams share the routes of an engine.
fn shared() -> plan::Plan {
    let team = |name: &str, tier| plan::Team {
        name: name.into(),
        keys: vec![format!("{name}-key")],
        tier,
    };
    let ranked = |name, tier| plan::Route {
        tier,
        ..route(name, &format!("/{name}/"), &[("engine", 1)])
    };
    plan::Plan {
        era: 0,
        revision: 1,
        routes: vec![ranked("chat", 0), ranked("draft", 1)],
        teams: vec![team("north", Some(0)), team("south", Some(1))],
        ..plan::Plan::default()
    }
}

fn level(table: &plan::Table, route: usize, team: usize) -> u8 {
    let plan = table.plan();
    let rank = table.rank("engine", &plan.routes[route], Some(&plan.teams[team]));
    rank.level()
}

#[test]
fn requests_of_one_team_are_ranked_by_their_routes() {
    // Guards against engines that preempt chats while drafts of the same team continue.
    let table = plan::Table::new(shared());
    for team in 0..2 {
        assert!(level(&table, 0, team) < level(&table, 1, team));
    }
}

#[test]
fn the_tier_of_the_team_precedes_that_of_the_route() {
    let table = plan::Table::new(shared());
    assert!(level(&table, 1, 0) < level(&table, 0, 1));
}

#[test]
fn a_team_without_a_tier_uses_that_of_the_route() {
    let mut plan = shared();
    plan.teams[1].tier = None;
    let table = plan::Table::new(plan);
    assert_eq!(level(&table, 0, 0), level(&table, 0, 1));
    assert!(level(&table, 1, 0) < level(&table, 1, 1));
}

#[test]
fn more_tiers_than_levels_keep_their_order() {
    let mut plan = shared();
    for tier in 2..40 {
        plan.teams.push(plan::Team {
            name: format!("t{tier}"),
            keys: Vec::new(),
            tier: Some(tier),
        });
    }
    let table = plan::Table::new(plan);
    let levels: Vec<u8> = (0..40).map(|team| level(&table, 0, team)).collect();
    assert!(levels.is_sorted(), "{levels:?}");
    assert_eq!((levels[0], levels[39]), (0, 9));
}

#[test]
fn a_service_with_one_rank_has_the_least_urgency() {
    assert_eq!(plan::Rank::new(0, 0).urgency(), 0.0);
    assert_eq!(plan::Rank::new(0, 3).urgency(), 1.0);
    assert_eq!(plan::Rank::new(3, 3).urgency(), 0.0);
}
