//! Guards against endpoints that fill the memory of a host with bytes which are no
//! answer. The file has a single test, because it measures the whole process.

mod common;

use common::endless;
use common::endpoint::{self, Step};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Half of the memory of a small host in bytes, without the 8 MiB that a host needs
/// when it is idle.
const GROWTH_MAX: usize = (48 - 8) << 20;

/// Requests at endpoints that send without end, at the same time.
const REQUESTS: usize = 200;

/// Bytes that each endpoint sends before it waits for the end of the connection.
const FLOOD_BYTES: usize = 4 << 20;

/// Makes the current memory of this process the peak.
fn reset_peak() {
    std::fs::write("/proc/self/clear_refs", "5").expect("the peak can be reset");
}

/// Returns the peak memory of this process in bytes.
fn peak_memory() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("status of the process");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .expect("the peak is listed");
    let kib: usize = line
        .split_whitespace()
        .next()
        .and_then(|number| number.parse().ok())
        .expect("a number");
    kib * 1_024
}

/// Returns by how many bytes the memory grows while the requests are open. That
/// includes the callers and the endpoint.
async fn growth_with(path: &str, script: fn(&endpoint::Request) -> Vec<Step>) -> usize {
    let limited = move |request: &endpoint::Request| {
        if request.head.starts_with("GET /look/sound ") {
            return endpoint::ok(request, "sound");
        }
        let mut steps = script(request);
        for step in &mut steps {
            if let Step::Flood(_, most) = step {
                *most = FLOOD_BYTES;
            }
        }
        steps.push(Step::Hang);
        steps
    };
    let one = endpoint::Endpoint::start("e1", limited).await;
    let host = common::host(&[&one]).await;
    // An endpoint with room for all requests, so that none is refused.
    let listed = plan::Endpoint {
        slots: 1_024,
        ..one.listed()
    };
    let entries = vec![(listed.id.clone(), edge::Entry::Endpoint(listed), 2)];
    host.update_endpoints(|now, registry| registry.replace(now, entries, 2));
    reset_peak();
    let before = peak_memory();
    let mut callers = tokio::task::JoinSet::new();
    for index in 0..REQUESTS {
        let address = host.address();
        let text = common::request("GET", path, &format!("r{index}"), "", "");
        callers.spawn(async move {
            let mut stream = tokio::net::TcpStream::connect(address)
                .await
                .expect("connect");
            stream.write_all(text.as_bytes()).await.expect("send");
            // The caller reads slowly, so that the host cannot pass everything on.
            let mut buffer = [0; 1_024];
            while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {
                tokio::time::sleep(common::ms(20)).await;
            }
        });
    }
    tokio::time::sleep(common::ms(700)).await;
    let sound = common::request("GET", "/look/sound", "sound", "", "");
    let answer = common::call(&host, &sound).await;
    assert_eq!(answer.text(), "sound", "{answer:?}");
    tokio::time::sleep(common::ms(700)).await;
    callers.abort_all();
    peak_memory().saturating_sub(before)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_hundred_endless_answers_fit_into_half_of_a_small_host() {
    let grown = [
        ("body", growth_with("/look/a", endless::body).await),
        ("field", growth_with("/live/a", endless::long_field).await),
        ("interim", growth_with("/live/a", endless::interim).await),
        ("event", growth_with("/live/a", endless::first_event).await),
        ("comments", growth_with("/live/a", endless::comments).await),
    ];
    for (name, bytes) in grown {
        assert!(bytes < GROWTH_MAX, "{name} in {grown:?}");
    }
    println!("{grown:?}");
}
