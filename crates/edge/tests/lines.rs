//! Guards against failed requests that cannot be explained from the log.

mod common;

use std::collections;
use std::sync;

use base::mutex;
use common::endpoint::{self, Step};

/// Steps by request.
type Lines = collections::HashMap<String, Vec<String>>;

/// Keeps the lines of requests in memory.
struct Log(sync::LazyLock<sync::Mutex<Lines>>);

static LOG: Log = Log(sync::LazyLock::new(sync::Mutex::default));

impl log::Log for Log {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.target() == "request"
    }

    fn log(&self, record: &log::Record<'_>) {
        let field = |name| {
            let value = record.key_values().get(log::kv::Key::from_str(name));
            value.map(|value| value.to_string())
        };
        if let (Some(request), Some(step)) = (field("request"), field("step")) {
            mutex::lock(&self.0).entry(request).or_default().push(step);
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
    lines.get(request).cloned().unwrap_or_default()
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
