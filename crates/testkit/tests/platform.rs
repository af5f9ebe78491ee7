//! Tests of the stand-in platform.

use core::time;
use std::collections;

use http_body_util::BodyExt as _;
use testkit::client;
use testkit::platform;

/// Sends a `GET` request and returns status and JSON, or `None` if the connection fails.
async fn get(
    platform: &platform::Platform,
    reader: &str,
    path: &str,
) -> Option<(u16, serde_json::Value)> {
    let address = platform.address(reader).unwrap();
    let url = format!("http://{address}{path}");
    let client = client::Client::new(client::Version::Http1, None);
    let request = http::Request::get(url).body("".into()).unwrap();
    let response = client.send(request).await.ok()?;
    let status = response.status().as_u16();
    let bytes = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, serde_json::from_slice(&bytes).unwrap_or_default()))
}

fn files(text: &str) -> collections::BTreeMap<String, String> {
    [("10-base.ini".to_owned(), text.to_owned())].into()
}

fn entry(name: &str) -> platform::Entry {
    platform::Entry {
        name: name.into(),
        caller: ([127, 0, 0, 1], 1).into(),
        peer: ([127, 0, 0, 1], 2).into(),
        data_centre: "a".into(),
        region: "r".into(),
        state: "live".into(),
    }
}

/// Guards against a watch that misses a new revision.
#[tokio::test]
async fn watch_returns_with_the_next_revision() {
    let platform = platform::Platform::start(platform::Options::default());
    platform.set_config(4, files("old"));
    let (status, value) = get(&platform, "a", "/v1/config").await.unwrap();
    assert_eq!((status, &value["revision"]), (200, &4.into()));
    let watch = get(&platform, "a", "/v1/config?after=4&wait=60");
    let change = async {
        for _ in 0..20_000 {
            if platform.counters().waiting > 0 {
                break;
            }
            tokio::time::sleep(time::Duration::from_millis(1)).await;
        }
        platform.set_config(7, files("new"));
    };
    let (watched, ()) = futures_util::join!(watch, change);
    let (_, value) = watched.unwrap();
    assert_eq!(value["revision"], 7);
    assert_eq!(value["files"]["10-base.ini"], "new");
    assert_eq!(platform.counters().config, 2);
    assert_eq!(platform.counters().waiting, 0);
}

/// Guards against a watch that never ends.
#[tokio::test]
async fn watch_without_change_ends() {
    let platform = platform::Platform::start(platform::Options::default());
    platform.set_config(4, files("old"));
    let answer = get(&platform, "a", "/v1/config?after=4&wait=0.01").await;
    assert_eq!(answer.unwrap().0, 304);
}

/// Guards against an outage or stale data of one reader that affects other readers.
#[tokio::test]
async fn down_and_stale_affect_one_reader() {
    let platform = platform::Platform::start(platform::Options::default());
    platform.set_config(1, files("one"));
    platform.set_config(2, files("two"));
    platform.set_down("a", true);
    platform.set_stale("b", Some(1));
    assert!(get(&platform, "a", "/v1/config").await.is_none());
    assert!(get(&platform, "a", "/v1/hosts").await.is_none());
    let mut seen = Vec::new();
    for reader in ["b", "c"] {
        let (_, value) = get(&platform, reader, "/v1/config").await.unwrap();
        seen.push(value["revision"].as_u64().unwrap());
    }
    assert_eq!(seen, [1, 2]);
    platform.set_down("a", false);
    assert!(get(&platform, "a", "/v1/config").await.is_some());
}

/// Guards against a host list that is newer than the lag allows.
#[tokio::test]
async fn host_list_lags() {
    let platform = platform::Platform::start(platform::Options {
        hosts_lag: time::Duration::from_secs(3600),
        ..platform::Options::default()
    });
    platform.set_hosts(vec![entry("h1")]);
    platform.set_hosts(vec![entry("h1"), entry("h2")]);
    let (_, value) = get(&platform, "a", "/v1/hosts").await.unwrap();
    assert_eq!(value["hosts"].as_array().unwrap().len(), 1);
    assert_eq!(value["hosts"][0]["data_centre"], "a");
}

/// Guards against serving reads beyond the budget.
#[tokio::test]
async fn reads_beyond_the_budget_are_refused() {
    let platform = platform::Platform::start(platform::Options {
        budget: 0,
        ..platform::Options::default()
    });
    let (status, _) = get(&platform, "a", "/v1/hosts").await.unwrap();
    assert_eq!(status, 429);
    assert_eq!(platform.counters().refused, 1);
}
