use core::time;
use std::net;

use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::body;
use serde_json::json;
use tokio::time::Instant;

use crate::client;
use crate::load::events::Events;
use crate::load::outcome::Outcome;
use crate::load::record::Record;
use crate::text;

/// Request to a model or a service.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// Path of the request.
    pub path: String,
    /// Name of the model; `None` for a service.
    pub model: Option<String>,
    /// Tag, unique among all requests; see [`crate::text`].
    pub tag: String,
    /// Prompt or, for a service, the field `text` of the body.
    pub prompt: String,
    /// Field `seed`, which determines the output length.
    pub seed: u64,
    /// Limit of the output length in tokens; `None` for no limit.
    pub max_tokens: Option<u32>,
    /// Number of tokens of the complete answer.
    pub expected: u32,
    /// Whether the answer is streamed; ignored for a service.
    pub stream: bool,
    /// Bearer key; `None` for an anonymous request.
    pub key: Option<String>,
    /// Additional headers; invalid ones are left out.
    pub headers: Vec<(String, String)>,
}

impl Call {
    /// Sends the request, receives the response and returns the record.
    pub async fn send(&self, client: &client::Client, address: net::SocketAddr) -> Record {
        let mut record = Record::default();
        self.send_into(client, address, &mut record).await;
        record
    }

    /// Sends the request, receives the response and updates the record as events arrive.
    ///
    /// If the future is dropped, the record keeps what was received until then.
    pub async fn send_into(
        &self,
        client: &client::Client,
        address: net::SocketAddr,
        record: &mut Record,
    ) {
        let start = Instant::now();
        let request = self.request(address);
        record.outcome = match client.send(request).await {
            Err(error) => Outcome::Broken(format!("no answer: {}", error_chain(&error))),
            Ok(response) => self.receive(response, start, record).await,
        };
        record.total = start.elapsed();
    }

    fn request(&self, address: net::SocketAddr) -> http::Request<Full<bytes::Bytes>> {
        let mut request = http::Request::new(Full::from(self.body()));
        *request.method_mut() = http::Method::POST;
        let uri = format!("http://{address}{}", self.path);
        *request.uri_mut() = uri.parse().unwrap_or_default();
        let headers = request.headers_mut();
        let json = http::HeaderValue::from_static("application/json");
        headers.insert(http::header::CONTENT_TYPE, json);
        let bearer = self.key.as_ref().map(|key| format!("Bearer {key}"));
        let bearer = bearer.map(|value| ("authorization".to_owned(), value));
        for (name, value) in self.headers.iter().cloned().chain(bearer) {
            let name = http::HeaderName::try_from(name);
            let value = http::HeaderValue::try_from(value);
            if let (Ok(name), Ok(value)) = (name, value) {
                headers.insert(name, value);
            }
        }
        request
    }

    fn body(&self) -> String {
        let Some(model) = &self.model else {
            return json!({"tag": self.tag, "text": self.prompt}).to_string();
        };
        let mut body = json!({
            "model": model, "stream": self.stream, "seed": self.seed, "user": self.tag,
        });
        if self.path.ends_with("/chat/completions") {
            body["messages"] = json!([{"role": "user", "content": self.prompt}]);
        } else {
            body["prompt"] = json!(self.prompt);
        }
        if self.stream {
            body["stream_options"] = json!({"include_usage": true});
        }
        if let Some(max) = self.max_tokens {
            body["max_tokens"] = json!(max);
        }
        body.to_string()
    }

    async fn receive(
        &self,
        response: http::Response<body::Incoming>,
        start: Instant,
        record: &mut Record,
    ) -> Outcome {
        record.queued = header(&response, "x-queue-ms")
            .and_then(|text| text.parse().ok())
            .map(time::Duration::from_millis);
        record.class = header(&response, "x-class");
        if !response.status().is_success() {
            return refusal(response).await;
        }
        let result = if self.model.is_some() && self.stream {
            self.receive_stream(response, start, record).await
        } else {
            self.receive_body(response, start, record).await
        };
        result.unwrap_or_else(|error| Outcome::Broken(format!("cut off: {}", error_chain(&error))))
    }

    async fn receive_stream(
        &self,
        response: http::Response<body::Incoming>,
        start: Instant,
        record: &mut Record,
    ) -> hyper::Result<Outcome> {
        let mut check = text::Check::new(&*self.tag);
        let mut events = Events::default();
        let mut last = start;
        let mut is_done = false;
        let mut has_excess = false;
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            for event in events.push(&data) {
                has_excess |= is_done;
                is_done |= event == "[DONE]";
                let content = content(&event);
                if content.is_empty() {
                    continue;
                }
                check.push(&content);
                record.tokens = check.tokens();
                let now = Instant::now();
                match record.first {
                    None => record.first = Some(now - start),
                    Some(_) => record.gaps.push(now - last),
                }
                last = now;
            }
        }
        Ok(Outcome::Answered(match check.finish(self.expected) {
            text::Verdict::Whole if has_excess => text::Verdict::Excess,
            text::Verdict::Whole if !is_done => text::Verdict::Truncated,
            verdict => verdict,
        }))
    }

    async fn receive_body(
        &self,
        response: http::Response<body::Incoming>,
        start: Instant,
        record: &mut Record,
    ) -> hyper::Result<Outcome> {
        let bytes = response.into_body().collect().await?.to_bytes();
        record.first = Some(start.elapsed());
        let content = if self.model.is_some() {
            content(&String::from_utf8_lossy(&bytes))
        } else {
            String::from_utf8_lossy(&bytes).into_owned()
        };
        let mut check = text::Check::new(&*self.tag);
        check.push(&content);
        record.tokens = check.tokens();
        Ok(Outcome::Answered(check.finish(self.expected)))
    }
}

/// Returns the generated text of a stream chunk or of a complete response.
fn content(text: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
    let choice = &value["choices"][0];
    [
        &choice["delta"]["content"],
        &choice["message"]["content"],
        &choice["text"],
    ]
    .into_iter()
    .find_map(serde_json::Value::as_str)
    .unwrap_or_default()
    .to_owned()
}

/// Formats an error with its chain of sources.
fn error_chain(error: &dyn core::error::Error) -> String {
    let causes = core::iter::successors(Some(error), |error| error.source());
    let texts: Vec<_> = causes.map(ToString::to_string).collect();
    texts.join(": ")
}

async fn refusal(response: http::Response<body::Incoming>) -> Outcome {
    let status = response.status().as_u16();
    let retry_after = header(&response, "retry-after")
        .and_then(|text| text.parse().ok())
        .map(time::Duration::from_secs);
    let bytes = match response.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return Outcome::Broken(format!("refusal cut off: {error}")),
    };
    let value: serde_json::Value = serde_json::from_slice(&bytes).unwrap_or_default();
    let text = |name: &str| value["error"][name].as_str().unwrap_or("").to_owned();
    Outcome::Refused {
        status,
        kind: text("kind"),
        run_state: text("run_state"),
        retry_after,
    }
}

fn header(response: &http::Response<body::Incoming>, name: &str) -> Option<String> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}
