//! Router hosts in front of stand-in endpoints.
#![expect(dead_code, reason = "each test file uses only some of the items")]

pub mod script;

use core::net;
use core::time;
use std::fmt::Write;
use std::sync;

use http_body_util::BodyExt;
use sha2::Digest;
use testkit::client;
use testkit::engine;
use testkit::load;
use testkit::service;

/// Bearer key of the team in the settings.
pub const KEY: &str = "wards-key";

/// Shared key of the hosts of a test.
pub const PEER_KEY: &str = "test-key-test-key-test-key-test-key";

const CLASSES: &str = "
[limits]
body_max = 64KiB
header_max = 4KiB
idle_timeout = 300ms
[class urgent]
tier = 0
target_first = 1s
deadline = 10s
[class open]
tier = 2
target_first = 3s
deadline = 20s
[anonymous]
class = open
[pool braille]
kind = model
resume = true
";

/// Returns the settings for engines at these addresses, with the lines `further`.
pub fn settings(engines: &[net::SocketAddr], further: &str) -> sync::Arc<conf::Settings> {
    sync::Arc::new(outcome(engines, further).settings)
}

/// Returns the same settings with the file and line of each value.
pub fn outcome(engines: &[net::SocketAddr], further: &str) -> conf::Configuration {
    let mut text = CLASSES.to_owned();
    let hash: String = sha2::Sha256::digest(KEY)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    writeln!(text, "[team wards]\nkey_hash = {hash}\nclass = urgent")
        .expect("writing to a string succeeds");
    for (index, address) in engines.iter().enumerate() {
        writeln!(
            text,
            "[endpoint engine-{index}]\npool = braille\naddress = {address}"
        )
        .expect("writing to a string succeeds");
        writeln!(text, "data_centre = a\nslots = 4\nfencing = checked")
            .expect("writing to a string succeeds");
    }
    let files = [
        conf::File::new("10-test.ini", text),
        conf::File::new("20-further.ini", further),
    ];
    conf::load(&files).unwrap_or_else(|problems| panic!("{problems:?}"))
}

/// Starts one host in front of engines at these addresses.
pub async fn host(engines: &[net::SocketAddr]) -> host::Host {
    member("host-1", engines, &[], "").await
}

/// Starts a host that contacts the hosts at `seeds`.
pub async fn member(
    name: &str,
    engines: &[net::SocketAddr],
    seeds: &[net::SocketAddr],
    further: &str,
) -> host::Host {
    let options = options(name, engines, seeds, further);
    host::Host::start(options).await.expect("the host starts")
}

/// Returns the options of such a host.
pub fn options(
    name: &str,
    engines: &[net::SocketAddr],
    seeds: &[net::SocketAddr],
    further: &str,
) -> host::Options {
    let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let mut settings = conf::Settings::clone(&settings(engines, further));
    settings.fleet.seeds = seeds.to_vec();
    if settings.fleet.peer_keys.is_empty() {
        settings.fleet.peer_keys = vec![PEER_KEY.to_owned()];
    }
    settings.limits.shutdown_max = time::Duration::from_secs(4);
    host::Options {
        settings: sync::Arc::new(settings),
        name: name.to_owned(),
        data_centre: "a".to_owned(),
        region: "north".to_owned(),
        listen: any,
        peer_listen: any,
        peer_advertise: None,
        admin_listen: None,
        policy: host::Policy::Current,
        stall_timeout: host::STALL_TIMEOUT,
    }
}

/// Starts hosts and waits until they have discovered each other.
pub async fn fleet(count: usize, engines: &[net::SocketAddr], further: &str) -> Vec<host::Host> {
    let mut hosts = Vec::new();
    for number in 1..=count {
        let seeds: Vec<_> = hosts.iter().map(host::Host::peer_addr).collect();
        let name = format!("host-{number}");
        hosts.push(member(&name, engines, &seeds, further).await);
    }
    wait_for_membership(&hosts).await;
    hosts
}

/// Waits until every host sees as many live hosts as there are.
pub async fn wait_for_membership(hosts: &[host::Host]) {
    wait_for("all hosts have discovered each other", || {
        hosts
            .iter()
            .all(|host| host.live_hosts().len() == hosts.len())
    })
    .await;
}

/// Waits until the condition holds.
///
/// # Panics
///
/// Panics if it does not hold within a minute.
pub async fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..1_200 {
        if condition() {
            return;
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    panic!("{what}: not within a minute");
}

/// Shuts all hosts down concurrently.
pub async fn shutdown(hosts: Vec<host::Host>) {
    futures_util::future::join_all(hosts.into_iter().map(host::Host::shutdown)).await;
}

/// Starts a service that records its executions.
pub fn service() -> service::Service {
    let options = service::Options {
        delay: time::Duration::from_millis(20),
        ..service::Options::default()
    };
    service::Service::start(options).expect("the service starts")
}

/// Returns settings lines for bookings at a service, owned by the first hosts.
pub fn service_settings(service: &service::Service) -> String {
    format!(
        "[pool order-desk]\nkind = service\nidempotent = false\n\
         [endpoint desk]\npool = order-desk\naddress = {}\ndata_centre = a\nslots = 8\n\
         [once]\nowners = host-1, host-2, host-3\nepoch = 1\nlease = 1s\n\
         clock_skew = 100ms\nresend_max_age = 30s\n\
         [fleet]\npeer_keys = test-key-test-key-test-key-test-key\n",
        service.address()
    )
}

/// Requests an idempotency key that the host mints.
pub async fn minted_key(client: &client::Client, address: net::SocketAddr) -> String {
    let request = http::Request::get(format!("http://{address}/v1/hosts"))
        .body(http_body_util::Full::default())
        .expect("the request is valid");
    let response = client.send(request).await.expect("the host answers");
    let body = response.into_body().collect().await.expect("a whole body");
    let value: serde_json::Value =
        serde_json::from_slice(&body.to_bytes()).expect("the answer is JSON");
    value["keys"][0].as_str().expect("a key").to_owned()
}

/// Returns the time in Unix milliseconds.
pub fn wall_ms() -> u128 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("the clock is past 1970")
        .as_millis()
}

/// Returns a booking with an idempotency key and the present time as the time of
/// its first attempt.
pub fn booking(tag: &str, key: &str) -> load::Call {
    load::Call {
        path: "/services/order-desk/book".to_owned(),
        tag: tag.to_owned(),
        expected: 1,
        key: Some(KEY.to_owned()),
        headers: vec![
            ("idempotency-key".to_owned(), key.to_owned()),
            ("request-time".to_owned(), wall_ms().to_string()),
        ],
        ..load::Call::default()
    }
}

/// Starts a stand-in engine whose answers have `tokens` tokens.
pub fn engine(tokens: u32, crash: Option<engine::Crash>) -> engine::Handle {
    engine::Engine::start(engine_options(tokens, crash)).expect("the engine starts")
}

/// Returns the options of a stand-in engine whose answers have `tokens` tokens.
pub fn engine_options(tokens: u32, crash: Option<engine::Crash>) -> engine::Options {
    engine::Options {
        model: "braille".to_owned(),
        lengths: vec![engine::Length {
            median: f64::from(tokens),
            sigma: 0.0,
            ..engine::Length::default()
        }],
        crash,
        ..engine::Options::default()
    }
}

/// Returns a streamed request.
pub fn call(tag: &str, tokens: u32) -> load::Call {
    load::Call {
        path: "/v1/chat/completions".to_owned(),
        model: Some("braille".to_owned()),
        tag: tag.to_owned(),
        prompt: "ward three".to_owned(),
        expected: tokens,
        stream: true,
        key: Some(KEY.to_owned()),
        ..load::Call::default()
    }
}

/// Returns a caller's client.
pub fn client() -> client::Client {
    client::Client::new(client::Version::Http1, None)
}
