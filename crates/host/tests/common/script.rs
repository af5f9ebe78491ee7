//! Endpoint that answers by a script.

use core::net;
use core::time;
use std::sync;
use std::sync::atomic;

use testkit::text;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Step of the answer to a request. The connection is closed after the last one.
pub enum Step {
    Bytes(Vec<u8>),
    Pause(time::Duration),
    /// Waits until the connection is closed.
    Hang,
}

/// Request that the endpoint received.
pub struct Request {
    /// Number of earlier requests to endpoints with the same count.
    pub number: usize,
    body: String,
    value: serde_json::Value,
}

impl Request {
    /// Returns the tag of the request.
    pub fn tag(&self) -> &str {
        let field = self.value.get("user").or_else(|| self.value.get("tag"));
        field.and_then(|tag| tag.as_str()).unwrap_or("")
    }

    /// Returns the number of tokens of the answer that the request contains.
    pub fn tokens(&self) -> u32 {
        text::count_tokens(self.tag(), &self.body)
    }

    /// Returns whether a stream is requested.
    pub fn is_stream(&self) -> bool {
        self.value["stream"] == true
    }
}

/// Counts of one endpoint.
#[derive(Default)]
struct Counts {
    requests: atomic::AtomicUsize,
    cancelled: atomic::AtomicUsize,
}

/// Endpoint that answers by a script and counts its requests.
pub struct Endpoint {
    address: net::SocketAddr,
    counts: sync::Arc<Counts>,
    task: tokio::task::JoinHandle<()>,
}

impl Endpoint {
    /// Starts an endpoint. Endpoints with the same `served` number their requests
    /// together.
    pub async fn start(
        served: &sync::Arc<atomic::AtomicUsize>,
        script: impl Fn(&Request) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0))
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let counts = sync::Arc::new(Counts::default());
        let (own, served) = (counts.clone(), served.clone());
        let script = sync::Arc::new(script);
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let (own, served, script) = (own.clone(), served.clone(), script.clone());
                connections.spawn(async move {
                    drop(serve(stream, &own, &served, &*script).await);
                });
            }
        });
        Self {
            address,
            counts,
            task,
        }
    }

    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the number of requests, load reports not included.
    pub fn requests(&self) -> usize {
        self.counts.requests.load(atomic::Ordering::SeqCst)
    }

    /// Returns the number of answers whose connection was closed before their end.
    pub fn cancelled(&self) -> usize {
        self.counts.cancelled.load(atomic::Ordering::SeqCst)
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(
    mut stream: TcpStream,
    counts: &Counts,
    served: &atomic::AtomicUsize,
    script: &(dyn Fn(&Request) -> Vec<Step> + Send + Sync),
) -> std::io::Result<()> {
    let (head, body) = read(&mut stream).await?;
    if head.starts_with("GET /load") {
        let none = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
        return stream.write_all(none).await;
    }
    counts.requests.fetch_add(1, atomic::Ordering::SeqCst);
    let request = Request {
        number: served.fetch_add(1, atomic::Ordering::SeqCst),
        value: serde_json::from_str(&body).unwrap_or_default(),
        body,
    };
    for step in script(&request) {
        let is_open = match step {
            Step::Bytes(bytes) => stream.write_all(&bytes).await.is_ok(),
            Step::Pause(pause) => !is_closed(&mut stream, pause).await,
            Step::Hang => !is_closed(&mut stream, time::Duration::from_secs(3_600)).await,
        };
        if !is_open {
            counts.cancelled.fetch_add(1, atomic::Ordering::SeqCst);
            break;
        }
    }
    Ok(())
}

/// Returns whether the connection is closed within this time.
async fn is_closed(stream: &mut TcpStream, pause: time::Duration) -> bool {
    let mut byte = [0; 1];
    tokio::time::timeout(pause, stream.read(&mut byte))
        .await
        .is_ok()
}

/// Reads one request; returns its head and its body.
async fn read(stream: &mut TcpStream) -> std::io::Result<(String, String)> {
    let mut data = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&data).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length")
                    .then(|| value.trim().parse().ok())?
            });
            if body.len() >= length.unwrap_or(0) {
                return Ok((head.to_owned(), body.to_owned()));
            }
        }
        match stream.read(&mut buffer).await? {
            0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            count => data.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Returns a head with this status and no body.
pub fn refusal(status: &str) -> Vec<Step> {
    let text = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
    vec![Step::Bytes(text.into_bytes())]
}

/// Returns the head of a stream that ends with its connection.
pub fn stream_head() -> Step {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
    Step::Bytes(head.as_bytes().to_vec())
}

/// Returns the events of the tokens up to `end` that the request does not contain.
pub fn events(request: &Request, from: u32, end: u32) -> Step {
    let events = (from.max(request.tokens())..end).map(|number| {
        let token = text::token(request.tag(), number);
        event(&serde_json::json!({"content": token}), None)
    });
    Step::Bytes(events.collect::<String>().into_bytes())
}

/// Returns the event with the finish reason.
pub fn finish() -> Step {
    Step::Bytes(event(&serde_json::json!({}), Some("stop")).into_bytes())
}

/// Returns the last event of a stream.
pub fn done() -> Step {
    Step::Bytes(b"data: [DONE]\n\n".to_vec())
}

/// Returns the events of a step with this value as their `system_fingerprint`.
pub fn stamped(step: Step, build: &serde_json::Value) -> Step {
    let Step::Bytes(bytes) = step else {
        return step;
    };
    let text = String::from_utf8_lossy(&bytes);
    let field = format!("data: {{\"system_fingerprint\":{build},");
    Step::Bytes(text.replace("data: {", &field).into_bytes())
}

fn event(delta: &serde_json::Value, reason: Option<&str>) -> String {
    let choice = serde_json::json!({"index": 0, "delta": delta, "finish_reason": reason});
    format!("data: {}\n\n", serde_json::json!({"choices": [choice]}))
}

/// Returns the head and the body of an answer of `count` tokens that is no stream.
pub fn whole(request: &Request, count: u32) -> (Vec<u8>, Vec<u8>) {
    let content: String = (0..count)
        .map(|number| text::token(request.tag(), number))
        .collect();
    let message = serde_json::json!({"role": "assistant", "content": content});
    let choice = serde_json::json!({"index": 0, "message": message, "finish_reason": "stop"});
    let body = serde_json::json!({"choices": [choice], "text": content, "tag": request.tag()});
    let body = body.to_string().into_bytes();
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         connection: close\r\n\r\n",
        body.len()
    );
    (head.into_bytes(), body)
}
