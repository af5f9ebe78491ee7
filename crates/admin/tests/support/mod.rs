//! Stand-in source, and requests to the router without a listener.

use axum::{body, http};
use http_body_util::BodyExt;
use serde_json::Value;
use sha2::Digest;
use std::sync;
use tower_service::Service;

/// Source that returns one example of each object.
pub struct Example(sync::Mutex<sync::Arc<admin::Keys>>);

/// Router over an [`Example`].
pub struct Fixture(sync::Arc<Example>);

impl Fixture {
    pub fn new() -> Self {
        let keys = admin::Keys {
            read: vec![hash("other"), hash("watch")],
            operate: vec![hash("work")],
        };
        Self(sync::Arc::new(Example(sync::Mutex::new(keys.into()))))
    }

    /// Replaces the accepted keys.
    pub fn set_keys(&self, keys: admin::Keys) {
        *self.0.0.lock().expect("lock") = keys.into();
    }

    /// Returns the HTTP status of a request for the state of the host.
    pub async fn status(&self, key: &str) -> http::StatusCode {
        let path = "/admin/v1/status";
        let (head, _) = self.send("GET", path, key, String::new()).await;
        head.status
    }

    pub async fn send(
        &self,
        method: &str,
        path: &str,
        key: &str,
        text: String,
    ) -> (http::response::Parts, String) {
        let request = http::Request::builder()
            .method(method)
            .uri(path)
            .header("authorization", format!("Bearer {key}"))
            .header("content-type", "application/json")
            .body(body::Body::from(text))
            .expect("request");
        let mut router = admin::router(self.0.clone());
        let response = router.call(request).await.expect("response");
        let (head, body) = response.into_parts();
        let bytes = body.collect().await.expect("body").to_bytes();
        (head, String::from_utf8(bytes.to_vec()).expect("text"))
    }
}

/// Sends a request and returns the status and the JSON of the response.
pub async fn call(method: &str, path: &str, key: &str, text: String) -> (http::StatusCode, Value) {
    let (head, text) = Fixture::new().send(method, path, key, text).await;
    (head.status, serde_json::from_str(&text).expect("JSON"))
}

pub async fn get(path: &str, key: &str) -> (http::StatusCode, Value) {
    call("GET", path, key, String::new()).await
}

pub async fn post(path: &str, key: &str, text: &str) -> (http::StatusCode, Value) {
    call("POST", path, key, text.to_owned()).await
}

fn hash(key: &str) -> [u8; 32] {
    sha2::Sha256::digest(key).into()
}

impl admin::Source for Example {
    fn keys(&self) -> sync::Arc<admin::Keys> {
        self.0.lock().expect("lock").clone()
    }

    fn status(&self) -> admin::Status {
        admin::Status {
            name: "h1".into(),
            incarnation: 1,
            version: "0.1.0".into(),
            data_centre: "d".into(),
            region: "r".into(),
            leaving: false,
            uptime_ms: 5,
            revision: 3,
            content: "00".into(),
            revision_age_ms: 8,
            refused: Some(admin::Rejection {
                revision: 4,
                reason: "unknown key".into(),
            }),
            platform_ms: None,
            hosts: 1,
            shards: 1,
            requests: 1,
            lease: None,
        }
    }

    fn settings(&self) -> admin::Settings {
        admin::Settings {
            revision: 3,
            content: "00".into(),
            entries: vec![admin::Entry {
                section: "fleet".into(),
                key: "peer_keys".into(),
                value: "(masked)".into(),
                file: Some("10.ini".into()),
                line: Some(4),
            }],
        }
    }

    fn hosts(&self) -> Vec<admin::Host> {
        vec![admin::Host {
            name: "h1".into(),
            incarnation: 1,
            data_centre: "d".into(),
            region: "r".into(),
            peer: "127.0.0.1:1".parse().expect("address"),
            caller: "127.0.0.1:2".parse().expect("address"),
            state: "up".into(),
            digest_ms: Some(0),
            revision: None,
        }]
    }

    fn endpoints(&self) -> Vec<admin::Endpoint> {
        vec![admin::Endpoint {
            name: "e1".into(),
            pool: "p".into(),
            shard: 0,
            home: "h1".into(),
            address: "127.0.0.1:3".parse().expect("address"),
            draining: false,
            in_flight: 1,
            slots: 2,
            load: Some(admin::Load {
                running: 1,
                waiting: 0,
                slots: 4,
                age_ms: 900,
            }),
        }]
    }

    fn classes(&self) -> Vec<admin::Class> {
        vec![admin::Class {
            name: "c".into(),
            tier: 0,
            target_first_ms: 1_300,
            target_gap_ms: Some(38),
            queued: 0,
            in_flight: 0,
            served: 0,
            refused: 0,
            shed: 0,
            attainment: Some(1.0),
            burn: None,
            wait_ms: 0,
        }]
    }

    fn teams(&self) -> Vec<admin::Team> {
        vec![admin::Team {
            name: "t".into(),
            weight: 1.0,
            class: None,
            queued: 0,
            in_flight: 0,
            served: 0,
            tokens: 0,
        }]
    }

    fn requests(&self, limit: usize) -> Vec<admin::Request> {
        let request = admin::Request {
            id: "r-1".into(),
            class: "c".into(),
            team: "t".into(),
            pool: "p".into(),
            state: "queued".into(),
            age_ms: 1,
            queue_ms: 1,
            attempt: 0,
            endpoint: None,
        };
        vec![request; limit.min(2)]
    }

    fn explain(&self, request: &str) -> Option<admin::Explanation> {
        (request == "r-1").then(|| admin::Explanation {
            request: request.into(),
            steps: vec![admin::Step {
                at_ms: 0,
                host: "h1".into(),
                event: "queued".into(),
                detail: "no endpoint has room".into(),
            }],
        })
    }

    fn burn(&self) -> burn::Snapshot {
        let class = burn::Class {
            name: "c".into(),
            attainment: 0.95,
        };
        let now = core::time::Duration::ZERO;
        let mut recorder = burn::Recorder::new(burn::Options::new(vec![class]), now);
        let event = burn::Event {
            class: 0,
            team_key: 1,
            team: "t",
            verdict: burn::Verdict::Good,
            time_to_first_token: None,
        };
        recorder.record(now, &event);
        recorder.snapshot(now)
    }

    fn drain(&self, request: &admin::Drain) -> Result<admin::Drained, answer::Refusal> {
        if request.name == "x" {
            let message = "there is no such endpoint";
            return Err(answer::Refusal::new(answer::Kind::NotFound, message));
        }
        Ok(admin::Drained {
            target: request.target,
            name: request.name.clone(),
            draining: true,
            in_flight: 1,
        })
    }

    fn undrain(&self, request: &admin::Drain) -> Result<admin::Drained, answer::Refusal> {
        self.drain(request)
    }
}
