//! Guards against failed requests that the log does not explain.

mod common;

use std::collections;
use std::net;
use std::sync;

use base::mutex;
use common::endpoint::{self, Step};

/// Logged steps by request, or states by host or endpoint, with the text of
/// each line.
type Lines = collections::HashMap<String, Vec<(String, String)>>;

/// Logger that stores the lines in memory.
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

/// Returns the text of the line of a step of a request.
fn inputs(request: &str, step: &str) -> String {
    let lines = mutex::lock(&LOG.0);
    let mut steps = lines.get(request).into_iter().flatten();
    let found = steps.find(|(name, _)| name == step);
    found.map(|(_, inputs)| inputs.clone()).unwrap_or_default()
}

#[tokio::test]
async fn the_decisions_of_a_request_in_flight_are_already_logged() {
    // Guards against requests without any line when their host is killed.
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
async fn under_load_all_lines_of_a_request_are_dropped_or_none_and_failures_are_kept() {
    // Guards against dropped single lines, after which no request can be
    // followed in the log.
    start();
    let one = endpoint::Endpoint::start("e1", |request| match request.head.contains("/book/") {
        true => vec![Step::Reset],
        false => endpoint::ok(request, "x"),
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
async fn a_host_finds_a_cached_prompt_through_the_placements_of_another_host() {
    // Guards against prompts that another engine processes again although one
    // has them in its cache.
    start();
    let endpoints = [
        endpoint::Endpoint::start("e1", |request| endpoint::ok(request, "x")).await,
        endpoint::Endpoint::start("e2", |request| endpoint::ok(request, "x")).await,
    ];
    let mut hosts = Vec::new();
    // All hosts use the same ports, so they need different addresses.
    let ip = |host: u8| net::Ipv4Addr::new(127, 77, 0, host);
    let ports = common::host_ports(&[ip(1), ip(2)]);
    let address = |host: u8, port: u16| net::SocketAddr::from((ip(host), ports + port));
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
    // The hosts need some rounds until membership connects them.
    for round in 0..20 {
        let extra = format!("x-tokens: 9200,50\r\nx-prompt: a1:2500,b{round}:3800,c3:2900\r\n");
        let (first, second) = (format!("first{round}"), format!("second{round}"));
        let text = common::request("GET", "/look/a", &first, &extra, "");
        assert_eq!(common::call(&hosts[0], &text).await.status, 200);
        assert!(inputs(&first, "picked").contains("cached=false"));
        tokio::time::sleep(common::ms(400)).await;
        let text = common::request("GET", "/look/a", &second, &extra, "");
        assert_eq!(common::call(&hosts[1], &text).await.status, 200);
        if inputs(&second, "picked").contains("cached=true") {
            return;
        }
    }
    panic!("the second host never received a placement of the first one");
}

#[tokio::test]
async fn state_changes_of_hosts_and_endpoints_are_logged() {
    // Guards against hosts and endpoints that are excluded without a log line.
    start();
    let gone = endpoint::Endpoint::start("e-gone", |request| endpoint::ok(request, "x")).await;
    let one = common::host(&[&gone]).await;
    let listed = gone.listed();
    drop(gone);
    let options = common::options("b-seen", vec![one.peer_address()]);
    let _two = edge::Host::start(options).await.expect("host");
    one.update_endpoints(|now, registry| registry.replace_from_peer(now, vec![listed], 2));
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
