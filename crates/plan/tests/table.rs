//! Guards against requests that go to the wrong route, team or service.

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
        public: name == "open",
    }
}

fn table() -> plan::Table {
    plan::Table::new(plan::Plan {
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
fn the_longest_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] name: Option<&str>,
) {
    let table = table();
    let found = table.route(host, path).map(|route| route.name.as_str());
    assert_eq!(found, name);
}

#[test]
fn a_key_that_is_not_in_force_is_unknown_except_on_public_routes() {
    let table = table();
    let route = |path| table.route("shop.example", path).expect("route");
    assert!(matches!(
        table.caller(route("/a/x"), Some("k2")),
        plan::Caller::Member(team) if team.name == "north"
    ));
    assert_eq!(table.caller(route("/a/x"), None), plan::Caller::Unknown);
    assert_eq!(
        table.caller(route("/a/x"), Some("k3")),
        plan::Caller::Unknown
    );
    assert_eq!(
        table.caller(route("/open/x"), Some("k3")),
        plan::Caller::Anyone
    );
}

#[test]
fn weights_split_requests_and_a_repeat_stays_with_its_service() {
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
