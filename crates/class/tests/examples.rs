//! Tests of the settings folders under `examples/`, with the bearer keys from their
//! comments.

use std::net;
use std::path;

/// Guards against example keys that do not work, against teams in the wrong class,
/// and against bookings and order confirmations that may run twice.
#[rstest::rstest]
#[case("kalahari", "label-printers", "proofing", "door-label", true)]
#[case("kalahari", "plate-checks", "proofing", "plate-check", true)]
#[case("kalahari", "order-desk", "order-desk", "booking", false)]
#[case("kalahari", "label-printers", "order-desk", "door-label", false)]
#[case("kalahari", "dealers", "order-desk", "status", false)]
#[case("ganci-alpini", "sales-phone", "fitting-advice", "quote", true)]
#[case("ganci-alpini", "catalogue", "fitting-advice", "catalogue", true)]
#[case(
    "ganci-alpini",
    "order-entry",
    "orders-and-stock",
    "confirmation",
    false
)]
#[case("ganci-alpini", "sales-phone", "orders-and-stock", "quote", false)]
#[case("ganci-alpini", "warehouse", "orders-and-stock", "stock", false)]
fn teams_of_examples_have_the_documented_class(
    #[case] folder: &str,
    #[case] team: &str,
    #[case] pool: &str,
    #[case] class: &str,
    #[case] idempotent: bool,
) {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let files = conf::folder::read(&root.join(folder)).unwrap();
    let settings = conf::load(&files).unwrap().settings;
    let bearer = format!("{folder}-{team}");
    let outcome = class::Table::new(&settings).resolve(&class::Query {
        bearer: Some(&bearer),
        address: net::Ipv4Addr::LOCALHOST.into(),
        pool,
        idempotent: Some(true),
        deadline: None,
    });
    let outcome = outcome.unwrap();
    assert_eq!((&*outcome.team, &*outcome.class), (team, class));
    assert_eq!(outcome.is_idempotent, idempotent);
}
