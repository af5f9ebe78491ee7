//! A host between callers on raw sockets and scripted endpoints.
#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "each test file uses a part of the helpers"
)]

pub mod builds;
pub mod endless;
pub mod endpoint;
pub mod engine;
pub mod fleet;
pub mod link;
pub mod mortal;
pub mod narrow;
pub mod silence;

use core::time;
use std::net;
use std::sync;

use tokio::io::{AsyncReadExt, AsyncWriteExt};

pub fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// Reserves an address for TCP and UDP.
pub fn free() -> net::SocketAddr {
    testkit::ports::reserve_local().expect("a free port")
}

/// Reserves the three ports of hosts at these addresses and returns the first one.
pub fn host_ports(ips: &[net::Ipv4Addr]) -> u16 {
    testkit::ports::reserve(ips, &[0, 1, 2]).expect("free ports")
}

pub fn options(name: &str, seeds: Vec<net::SocketAddr>) -> edge::Options {
    edge::Options {
        name: name.into(),
        data_centre: "dc".into(),
        region: "r".into(),
        listen: free(),
        peer_listen: free(),
        load_listen: free(),
        seeds,
        peer_key: "test".into(),
        cpu_millicores: 100,
        transfers_max: 1,
        headers: edge::Headers {
            reserved: vec![http::HeaderName::from_static("x-hold")],
            ..edge::Headers::default()
        },
        connections_max: 500,
        memory: front::Memory::new(front::account::Limits {
            bytes: 14 << 20,
            body_bytes: 8 << 20,
            reserve_bytes: 0,
            rate: 8 << 10,
        }),
        retry_budget: steer::Allowance {
            ratio: 0.2,
            slack: 100.0,
            window_s: 10,
        },
        removal_grace: ms(300),
        freshness: ::fleet::freshness::Bounds::default(),
        stop_timeout: ms(3_000),
        steer: steer::Options {
            data_centre: "dc".into(),
            ..steer::Options::default()
        },
    }
}

pub fn route(prefix: &str, kind: plan::Kind) -> plan::Route {
    plan::Route {
        name: prefix.trim_matches('/').into(),
        host: "shop.example".into(),
        prefix: prefix.into(),
        targets: vec![plan::Target {
            service: "s".into(),
            weight: 1,
        }],
        kind,
        timeout: ms(2_000),
        target_first: ms(300),
        target_gap: Some(ms(200)),
        attempts_max: 2,
        tier: 1,
        is_public: false,
    }
}

pub fn plan(revision: u64) -> plan::Plan {
    plan::Plan {
        era: 0,
        revision,
        routes: vec![
            route("/look/", plan::Kind::Idempotent),
            route("/book/", plan::Kind::Once),
            route("/long/", plan::Kind::Stream { is_resumable: true }),
            route(
                "/live/",
                plan::Kind::Stream {
                    is_resumable: false,
                },
            ),
        ],
        services: vec![plan::Service {
            name: "s".into(),
            health_path: "/health".into(),
            connections_max: 100,
            engine: None,
            cold: None,
        }],
        limits: plan::Limits::default(),
        teams: vec![plan::Team {
            name: "north".into(),
            keys: vec!["k1".into()],
            tier: None,
        }],
    }
}

/// Starts a host that routes to these endpoints.
pub async fn host(endpoints: &[&endpoint::Endpoint]) -> sync::Arc<edge::Host> {
    let host = edge::Host::start(options("a", Vec::new()))
        .await
        .expect("host");
    host.apply_plan(plan(1), "test");
    list(&host, endpoints, 1);
    host.confirm_plan();
    host
}

/// Replaces the endpoints of a host.
pub fn list(host: &edge::Host, endpoints: &[&endpoint::Endpoint], revision: u64) {
    let entries = endpoints
        .iter()
        .map(|endpoint| {
            let listed = endpoint.listed();
            (listed.id.clone(), edge::Entry::Endpoint(listed), revision)
        })
        .collect();
    host.update_endpoints(|now, registry| registry.replace(now, entries, revision));
}

/// An answer as the caller received it.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body was complete according to its framing.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Returns the text of a request.
pub fn request(method: &str, path: &str, id: &str, extra: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nx-request-id: {id}\r\n\
         Authorization: Bearer k1\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a request on a connection of its own and reads the answer.
pub async fn call(host: &edge::Host, text: &str) -> Answer {
    let mut stream = tokio::net::TcpStream::connect(host.address())
        .await
        .expect("connect");
    stream.write_all(text.as_bytes()).await.expect("send");
    read(&mut stream).await
}

/// Reads one answer.
pub async fn read(stream: &mut tokio::net::TcpStream) -> Answer {
    let reading = read_answer(stream);
    tokio::time::timeout(time::Duration::from_secs(20), reading)
        .await
        .expect("an answer within 20 s")
}

async fn read_answer(stream: &mut tokio::net::TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = find(&bytes, b"\r\n\r\n") {
            break end + 4;
        }
        if !more(stream, &mut bytes).await {
            return Answer {
                status: 0,
                head: String::new(),
                body: bytes,
                is_whole: false,
            };
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut answer = Answer {
        status: head
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0),
        head,
        body: Vec::new(),
        is_whole: false,
    };
    let mut rest = bytes[end..].to_vec();
    if answer.header("transfer-encoding").is_some() {
        answer.is_whole = chunked(stream, &mut rest, &mut answer.body).await;
        return answer;
    }
    let length: usize = answer
        .header("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    while rest.len() < length && more(stream, &mut rest).await {}
    answer.is_whole = rest.len() >= length;
    rest.truncate(length);
    answer.body = rest;
    answer
}

async fn chunked(
    stream: &mut tokio::net::TcpStream,
    rest: &mut Vec<u8>,
    body: &mut Vec<u8>,
) -> bool {
    loop {
        let Some(line) = find(rest, b"\r\n") else {
            if !more(stream, rest).await {
                return false;
            }
            continue;
        };
        let size = String::from_utf8_lossy(&rest[..line]).into_owned();
        let size = usize::from_str_radix(size.trim(), 16).expect("chunk size");
        while rest.len() < line + 2 + size + 2 {
            if !more(stream, rest).await {
                return false;
            }
        }
        body.extend_from_slice(&rest[line + 2..line + 2 + size]);
        rest.drain(..line + 2 + size + 2);
        if size == 0 {
            return true;
        }
    }
}

async fn more(stream: &mut tokio::net::TcpStream, bytes: &mut Vec<u8>) -> bool {
    let mut buffer = [0; 4_096];
    match stream.read(&mut buffer).await {
        Ok(0) | Err(_) => false,
        Ok(count) => {
            bytes.extend_from_slice(&buffer[..count]);
            true
        }
    }
}

pub fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}
