//! Tests of the stand-in service.

use core::time;

use testkit::client;
use testkit::load;
use testkit::service;

fn call(tag: &str) -> load::Call {
    load::Call {
        path: "/book".into(),
        tag: tag.into(),
        expected: 1,
        headers: vec![("idempotency-key".into(), format!("key-{tag}"))],
        ..load::Call::default()
    }
}

async fn send(service: &service::Service, tag: &str) -> load::Outcome {
    let client = client::Client::new(client::Version::Http1, None);
    call(tag).send(&client, service.address()).await.outcome
}

/// Polls the condition until it holds.
async fn until(condition: impl Fn() -> bool) {
    for _ in 0..20_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(time::Duration::from_millis(1)).await;
    }
    panic!("the condition did not come true");
}

fn fault(fault: service::Fault) -> service::Reply {
    service::Reply {
        fault: Some(fault),
        ..service::Reply::default()
    }
}

/// Guards against a fault that causes an effect although it must not, or the reverse.
#[rstest::rstest]
#[case(service::Fault::Refuse(503), 0, Some(503))]
#[case(service::Fault::CutBefore, 0, None)]
#[case(service::Fault::Status(500), 1, Some(500))]
#[case(service::Fault::CutAfter, 1, None)]
#[case(service::Fault::CutWithin, 1, None)]
#[tokio::test]
async fn fault_has_the_specified_effect(
    #[case] kind: service::Fault,
    #[case] effects: usize,
    #[case] expected: Option<u16>,
) {
    let service = service::Service::start(service::Options::default()).unwrap();
    service.script([fault(kind)]);
    match send(&service, "a").await {
        load::Outcome::Refused { status, .. } => assert_eq!(Some(status), expected),
        load::Outcome::Broken(_) => assert_eq!(expected, None),
        other => panic!("{other:?}"),
    }
    assert_eq!(service.executions().len(), effects);
}

/// Guards against executions that are not counted per key.
#[tokio::test]
async fn executions_are_counted_per_key() {
    let service = service::Service::start(service::Options::default()).unwrap();
    for tag in ["a", "b", "a"] {
        assert!(send(&service, tag).await.is_whole());
    }
    let counts: Vec<_> = service.counts().into_iter().collect();
    assert_eq!(counts, [("key-a".into(), 2), ("key-b".into(), 1)]);
    assert_eq!(service.executions()[0].path, "/book");
}

/// Guards against a service that drops a request when its caller disconnects.
#[tokio::test]
async fn request_takes_effect_after_the_caller_disconnects() {
    let service = service::Service::start(service::Options::default()).unwrap();
    service.script([service::Reply {
        before: time::Duration::from_millis(200),
        ..service::Reply::default()
    }]);
    let address = service.address();
    let sent = tokio::spawn(async move {
        let client = client::Client::new(client::Version::Http1, None);
        call("a").send(&client, address).await
    });
    until(|| service.running() == 1 || sent.is_finished()).await;
    sent.abort();
    until(|| service.executions().len() == 1).await;
}

/// Guards against a response body that is incomplete when its halves are delayed.
#[tokio::test]
async fn delayed_body_is_complete() {
    let service = service::Service::start(service::Options::default()).unwrap();
    service.script([service::Reply {
        within: time::Duration::from_millis(5),
        after: time::Duration::from_millis(5),
        ..service::Reply::default()
    }]);
    assert!(send(&service, "slow-one").await.is_whole());
}
