//! Settings folders under `examples/`.

use std::collections;
use std::path;

use conf::settings;

/// Numbers of different items in an example.
struct Size {
    centres: usize,
    models: usize,
    services: usize,
    teams: usize,
}

/// Guards against examples that are invalid or that no longer have the size of
/// their deployment.
#[rstest::rstest]
#[case("kalahari", Size { centres: 4, models: 20, services: 4, teams: 10 })]
#[case("ganci-alpini", Size { centres: 3, models: 10, services: 3, teams: 10 })]
fn example_loads(#[case] name: &str, #[case] size: Size) {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let files = conf::folder::read(&root.join(name)).unwrap();
    let configuration = conf::load(&files).unwrap_or_else(|problems| panic!("{problems:#?}"));
    let settings = &configuration.settings;
    let addresses = |kind| {
        let endpoints = settings.endpoints.values();
        let endpoints = endpoints.filter(|e| settings.pools[&e.pool].kind == kind);
        endpoints
            .map(|endpoint| endpoint.address)
            .collect::<collections::BTreeSet<_>>()
    };
    let models = addresses(settings::Kind::Model);
    let services = addresses(settings::Kind::Service);
    assert_eq!(models.len(), size.models);
    assert_eq!(services.len(), size.services);
    assert!(
        models
            .union(&services)
            .all(|address| address.ip().is_loopback())
    );
    let centres = settings.endpoints.values().map(|e| &e.data_centre);
    let centres: collections::BTreeSet<_> = centres.collect();
    assert_eq!(centres.len(), size.centres);
    assert!(centres.contains(settings.host.data_centre.as_ref().unwrap()));
    assert_eq!(settings.teams.len(), size.teams);
    assert!(
        settings
            .once
            .owners
            .contains(settings.host.name.as_ref().unwrap())
    );
    assert!(settings.classes.values().any(|class| !class.idempotent));
}
