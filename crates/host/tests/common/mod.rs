//! A router host in front of stand-in engines.

use core::net;
use std::fmt::Write;
use std::sync;

use sha2::Digest;
use testkit::client;
use testkit::engine;
use testkit::load;

/// Bearer key of the team in the settings.
pub const KEY: &str = "wards-key";

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
";

/// Returns the settings for engines at these addresses.
pub fn settings(engines: &[net::SocketAddr]) -> sync::Arc<conf::Settings> {
    let mut text = CLASSES.to_owned();
    let hash: String = sha2::Sha256::digest(KEY)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    writeln!(text, "[team wards]\nkey_hash = {hash}\nclass = urgent").expect("a string takes all");
    for (index, address) in engines.iter().enumerate() {
        writeln!(
            text,
            "[endpoint engine-{index}]\npool = braille\naddress = {address}"
        )
        .expect("a string takes all");
        writeln!(text, "data_centre = a\nslots = 4").expect("a string takes all");
    }
    let outcome = conf::load(&[conf::File::new("10-test.ini", text)]);
    let outcome = outcome.unwrap_or_else(|problems| panic!("{problems:?}"));
    sync::Arc::new(outcome.settings)
}

/// Starts a host in front of engines at these addresses.
pub async fn host(engines: &[net::SocketAddr]) -> host::Host {
    let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let options = host::Options {
        settings: settings(engines),
        name: "host-1".to_owned(),
        data_centre: "a".to_owned(),
        region: "north".to_owned(),
        listen: any,
        peer_listen: any,
        admin_listen: None,
        policy: host::Choice::Current,
    };
    host::Host::start(options).await.expect("the host starts")
}

/// Starts a stand-in engine that answers `tokens` tokens.
pub fn engine(tokens: u32, crash: Option<engine::Crash>) -> engine::Handle {
    let options = engine::Options {
        model: "braille".to_owned(),
        lengths: vec![engine::Length {
            median: f64::from(tokens),
            sigma: 0.0,
            ..engine::Length::default()
        }],
        crash,
        ..engine::Options::default()
    };
    engine::Engine::start(options).expect("the engine starts")
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
