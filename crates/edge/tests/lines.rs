//! Guards against failed requests that cannot be explained from the log.

mod common;

use std::collections;
use std::net;
use std::sync;

use base::mutex;
use common::endpoint::{self, Step};

/// Steps by request, or states by host or endpoint, with what decided them.
type Lines = collections::HashMap<String, Vec<(String, String)>>;

/// Keeps the lines of requests in memory.
struct Log(sync::LazyLock<sync::Mutex<Lines>>);

static LOG: Log = Log(sync::LazyLock::new(sync::Mutex::default));

impl log::Log for Log {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        ["request", "edge"].contains(&metadata.target())
    }

    fn log(&self, record: &log::Record<'_>) {
        let field = |name| {
            let value = record.key_values().get(log::kv::Key::from_str(name));
            value.map(|value| value.to_string())
        };
        let name = field("request").or(field("peer")).or(field("endpoint"));
        if let (Some(request), Some(step)) = (name, field("step").or(field("state"))) {
            let line = (step, record.args().to_string());
            mutex::lock(&self.0).entry(request).or_default().push(line);
        }
    }

    fn flush(&self) {}
}

fn start() {
    // Tests of this file share the logger.
    let _ = log::set_logger(&LOG);
    log::set_max_level(log::LevelFilter::Info);
}

fn steps(request: &str) -> Vec<String> {
    let lines = mutex::lock(&LOG.0);
    let steps = lines.get(request).into_iter().flatten();
    steps.map(|(step, _)| step.clone()).collect()
}

/// Returns what decided a step of a request.
fn inputs(request: &str, step: &str) -> String {
    let lines = mutex::lock(&LOG.0);
    let mut steps = lines.get(request).into_iter().flatten();
    let found = steps.find(|(name, _)| name == step);
    found.map(|(_, inputs)| inputs.clone()).unwrap_or_default()
}

#[tokio::test]
async fn a_request_in_flight_has_left_its_lines() {
    // Guards against requests that leave no line when their host is killed.
    start();
    let one = endpoint::Endpoint::start("e1", |_| vec![Step::Hang]).await;
    let host = common::host(&[&one]).await;
    let text = common::request("GET", "/look/a", "flight", "", "");
    let address = host.address();
    let _caller = tokio::spawn(async move {
        let mut stream = tokio::net::TcpStream::connect(address)
            .await
            .expect("connect");
        tokio::io::AsyncWriteExt::write_all(&mut stream, text.as_bytes())
            .await
            .expect("send");
        common::read(&mut stream).await
    });
    while one.count() == 0 {
        tokio::time::sleep(common::ms(5)).await;
    }
    assert_eq!(steps("flight"), ["routed", "picked"]);
}

#[tokio::test]
async fn under_load_whole_requests_are_left_out_and_failures_are_kept() {
    // Guards against random lines from which no request can be followed.
    start();
    let one = endpoint::Endpoint::start("e1", |seen| match seen.head.contains("/book/") {
        true => vec![Step::Reset],
        false => endpoint::ok(seen, "x"),
    })
    .await;
    let host = common::host(&[&one]).await;
    let mut kept = 0;
    for round in 0..60 {
        let id = format!("good{round}");
        let text = common::request("GET", "/look/a", &id, "", "");
        assert_eq!(common::call(&host, &text).await.status, 200);
        let steps = steps(&id);
        if !steps.is_empty() {
            kept += 1;
            assert_eq!(steps, ["routed", "picked", "answered", "finished"]);
        }
    }
    assert!(
        (10..60).contains(&kept),
        "{kept} of 60 requests were logged"
    );
    let text = common::request("POST", "/book/a", "bad", "", "o");
    assert_eq!(common::call(&host, &text).await.status, 502);
    assert_eq!(
        steps("bad"),
        ["routed", "picked", "lost", "refused", "finished"]
    );
}

#[tokio::test]
async fn a_host_knows_where_another_one_placed_a_prompt() {
    // Guards against prompts that are read again by another engine.
    start();
    let endpoints = [
        endpoint::Endpoint::start("e1", |seen| endpoint::ok(seen, "x")).await,
        endpoint::Endpoint::start("e2", |seen| endpoint::ok(seen, "x")).await,
    ];
    let mut hosts = Vec::new();
    // Hosts expect each other at the same ports of different addresses.
    let ports = [common::free(), common::free(), common::free()].map(|address| address.port());
    let address = |host: u8, port: usize| net::SocketAddr::from(([127, 77, 0, host], ports[port]));
    for (host, name) in [(1, "a"), (2, "b")] {
        let options = edge::Options {
            listen: address(host, 0),
            peer_listen: address(host, 1),
            load_listen: address(host, 2),
            ..common::options(name, vec![address(1, 1)])
        };
        let host = edge::Host::start(options).await.expect("host");
        host.apply_plan(common::plan(1), "test");
        common::list(&host, &[&endpoints[0], &endpoints[1]], 1);
        host.confirm_plan();
        hosts.push(host);
    }
    // The hosts need a moment to meet.
    for round in 0..20 {
        let extra = format!("x-tokens: 9200,50\r\nx-prompt: a1:2500,b{round}:3800,c3:2900\r\n");
        let (placed, heard) = (format!("placed{round}"), format!("heard{round}"));
        let text = common::request("GET", "/look/a", &placed, &extra, "");
        assert_eq!(common::call(&hosts[0], &text).await.status, 200);
        assert!(inputs(&placed, "picked").contains("cached=false"));
        tokio::time::sleep(common::ms(400)).await;
        let text = common::request("GET", "/look/a", &heard, &extra, "");
        assert_eq!(common::call(&hosts[1], &text).await.status, 200);
        if inputs(&heard, "picked").contains("cached=true") {
            return;
        }
    }
    panic!("the second host never heard of a prompt");
}

#[tokio::test]
async fn what_a_host_believes_of_others_is_logged_when_it_changes() {
    // Guards against a host that passes over others without a word.
    start();
    let gone = endpoint::Endpoint::start("e-gone", |seen| endpoint::ok(seen, "x")).await;
    let one = common::host(&[&gone]).await;
    let listed = gone.listed();
    drop(gone);
    let options = common::options("b-seen", vec![one.peer_address()]);
    let _two = edge::Host::start(options).await.expect("host");
    one.update_endpoints(|_, registry| registry.replace_from_peer(vec![listed], 2));
    let logged = async {
        while !steps("b-seen").contains(&"live".to_owned())
            || !steps("e-gone").contains(&"down".to_owned())
        {
            let text = common::request("GET", "/look/a", "r-gone", "", "");
            common::call(&one, &text).await;
            tokio::time::sleep(common::ms(50)).await;
        }
    };
    tokio::time::timeout(common::ms(10_000), logged)
        .await
        .expect("both changes are logged");
}
