//! Tests of the authentication of callers and the resolution of classes.

use core::fmt::Write as _;
use core::time;
use std::net;

use sha2::Digest as _;

const BASE: &str = "\
[class a-short]
tier = 0
target_first = 1s
deadline = 10s
[class b-once]
tier = 1
target_first = 2s
deadline = 20s
idempotent = false
[class c-long]
tier = 3
target_first = 3s
target_gap = 50ms
deadline = 30s
[anonymous]
class = c-long
weight = 0.5
[pool chat]
kind = model
[pool orders]
kind = service
class = b-once
[pool stock]
kind = service
idempotent = true
[pool post]
kind = service
idempotent = false
";

/// Team names with the same hash.
const COLLISION: [&str; 2] = ["t37068", "t63194"];

fn hash(key: &str) -> String {
    let digest = sha2::Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn team(name: &str, class: &str, keys: &[&str]) -> String {
    let hashes: Vec<_> = keys.iter().map(|key| hash(key)).collect();
    let hashes = hashes.join(", ");
    format!("[team {name}]\nclass = {class}\nkey_hash = {hashes}\n")
}

fn load(teams: &str) -> conf::Configuration {
    let files = [
        conf::File::new("1.ini", BASE),
        conf::File::new("2.ini", teams),
    ];
    conf::load(&files).unwrap_or_else(|problems| panic!("{problems:#?}"))
}

fn table() -> class::Table {
    let red = team("red", "a-short", &["red-1", "red-2"]);
    let blue = team("blue", "b-once", &["blue-1"]);
    class::Table::new(&load(&(red + &blue)).settings)
}

fn query<'a>(bearer: Option<&'a str>, pool: &'a str) -> class::Query<'a> {
    class::Query {
        bearer,
        address: net::Ipv4Addr::new(192, 0, 2, 7).into(),
        pool,
        idempotent: None,
        deadline: None,
    }
}

/// Guards against a class that is taken from the wrong setting.
#[rstest::rstest]
#[case(Some("red-1"), "chat", "red", "a-short", "[team red] class")]
#[case(Some("red-2"), "chat", "red", "a-short", "[team red] class")]
#[case(Some("red-1"), "orders", "red", "b-once", "[pool orders] class")]
#[case(None, "chat", "anonymous", "c-long", "[anonymous] class")]
#[case(None, "orders", "anonymous", "b-once", "[pool orders] class")]
fn class_of_pool_overrides_class_of_team(
    #[case] bearer: Option<&str>,
    #[case] pool: &str,
    #[case] team: &str,
    #[case] class: &str,
    #[case] source: &str,
) {
    let table = table();
    let outcome = table.resolve(&query(bearer, pool)).unwrap();
    assert_eq!((&*outcome.team, &*outcome.class), (team, class));
    assert_eq!(outcome.team_key == 0, bearer.is_none());
    let names: Vec<_> = table.class_names().collect();
    assert_eq!(names[usize::from(outcome.class_index)], class);
    let reasons = outcome.reasons();
    let reason = reasons
        .iter()
        .find(|reason| reason.property == "class")
        .unwrap();
    assert_eq!(
        reason.to_string(),
        format!("class is {class} because of {source}")
    );
}

/// Guards against a request that declares itself idempotent although the settings
/// do not permit it, so that it could run twice.
#[rstest::rstest]
#[case("red-1", "chat", [true, true, false])]
#[case("blue-1", "chat", [false, false, false])]
#[case("red-1", "orders", [false, false, false])]
#[case("blue-1", "stock", [true, true, false])]
#[case("red-1", "post", [false, false, false])]
fn request_can_withdraw_idempotency_but_not_grant_it(
    #[case] bearer: &str,
    #[case] pool: &str,
    #[case] expected: [bool; 3],
) {
    let table = table();
    for (own, expected) in [None, Some(true), Some(false)].into_iter().zip(expected) {
        let mut query = query(Some(bearer), pool);
        query.idempotent = own;
        assert_eq!(
            table.resolve(&query).unwrap().is_idempotent,
            expected,
            "{own:?}"
        );
    }
}

/// Guards against refusals that reveal to a caller with an unknown key which pools
/// exist, and against an unknown key that is treated as anonymous.
#[rstest::rstest]
#[case(Some("red-3"), "chat", answer::Kind::UnknownKey)]
#[case(Some("red-3"), "nope", answer::Kind::UnknownKey)]
#[case(Some(""), "chat", answer::Kind::UnknownKey)]
#[case(Some("red-1"), "nope", answer::Kind::UnknownModel)]
#[case(None, "nope", answer::Kind::UnknownModel)]
fn unknown_keys_and_pools_are_refused(
    #[case] bearer: Option<&str>,
    #[case] pool: &str,
    #[case] kind: answer::Kind,
) {
    let refusal = table().resolve(&query(bearer, pool)).unwrap_err();
    assert_eq!(refusal.kind, kind);
}

/// Guards against anonymous callers that count as many by changing the last part
/// of their address, and against different callers with the same hash.
#[test]
fn addresses_of_one_prefix_are_one_caller() {
    let table = table();
    let caller = |address: &str| {
        let mut query = query(None, "chat");
        query.address = address.parse().unwrap();
        table.resolve(&query).unwrap().caller
    };
    assert_eq!(caller("192.0.2.1"), caller("192.0.2.254"));
    assert_eq!(caller("192.0.2.1"), caller("::ffff:192.0.2.9"));
    assert_ne!(caller("192.0.2.1"), caller("192.0.3.1"));
    assert_eq!(caller("2001:db8::1"), caller("2001:db8::ffff:1:2:3"));
    assert_ne!(caller("2001:db8::1"), caller("2001:db8:0:1::1"));
    let authenticated = |key| table.resolve(&query(Some(key), "chat")).unwrap().caller;
    assert_ne!(authenticated("red-1"), authenticated("red-2"));
}

/// Guards against unlimited deadlines and against a deadline from the wrong source.
#[rstest::rstest]
#[case(None, 10_000, "[class a-short] deadline")]
#[case(Some(250), 250, "the request's deadline")]
#[case(Some(u64::MAX), 3_600_000, "the request's deadline")]
fn deadline_of_request_overrides_class_and_is_limited(
    #[case] own: Option<u64>,
    #[case] expected: u64,
    #[case] source: &str,
) {
    let mut query = query(Some("red-1"), "chat");
    query.deadline = own.map(time::Duration::from_millis);
    let outcome = table().resolve(&query).unwrap();
    assert_eq!(outcome.deadline, time::Duration::from_millis(expected));
    let reasons = outcome.reasons();
    let reason = reasons
        .iter()
        .find(|reason| reason.property == "deadline")
        .unwrap();
    assert_eq!(reason.source.to_string(), source);
}

/// Guards against team keys that change between builds, are 0 or are assigned
/// twice, and against a look-up that misses one of many teams. The names in
/// `COLLISION` have the same hash.
#[test]
fn many_teams_have_unique_stable_keys() {
    assert_eq!(class::team_key("red"), 1_739_709_440);
    assert_eq!(class::team_key(COLLISION[0]), class::team_key(COLLISION[1]));
    let mut teams = String::new();
    let names: Vec<_> = (0..2_500).map(|i| format!("n{i}")).collect();
    let names = || names.iter().map(String::as_str).chain(COLLISION);
    for name in names() {
        let _ = teams.write_str(&team(name, "a-short", &[name]));
    }
    let table = class::Table::new(&load(&teams).settings);
    let mut keys = std::collections::BTreeSet::new();
    for name in names() {
        let outcome = table.resolve(&query(Some(name), "chat")).unwrap();
        assert_eq!(&*outcome.team, name);
        assert!(outcome.team_key != 0 && keys.insert(outcome.team_key));
        assert_eq!(table.team_name(outcome.team_key), Some(name));
    }
    let weights: Vec<_> = table.weights().collect();
    assert_eq!(weights.len(), 2_503);
    assert_eq!(weights.last(), Some(&(0, 0.5)));
}
