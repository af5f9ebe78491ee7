//! Guards against streams that hold events of endpoints of two builds, and against
//! resumed streams that are refused although their build is known.

mod common;

use std::sync;

use common::builds::{Service, begin, breaks_first, hosts, plan, resume, wait_for_history, whole};
use common::endpoint::{self, Step};
use rstest::rstest;

/// Sends all events, and is silent after two of them.
fn silent_after_events(request: &endpoint::Request) -> Vec<Step> {
    vec![
        endpoint::stream_head(request),
        endpoint::chunk(&whole(1, 2)),
        Step::Pause(common::ms(1_300)),
        endpoint::chunk(&whole(3, 6)),
        endpoint::stream_end(),
    ]
}

// Guards against a host that resumes a broken stream at any build.
#[rstest]
#[case::other_build(&[Some("v1"), Some("v2")], false)]
#[case::unknown_builds(&[None, None], false)]
#[case::same_build(&[Some("v1"), Some("v1"), Some("v2"), Some("v2")], true)]
#[tokio::test]
async fn a_host_resumes_a_stream_at_its_build_only(
    #[case] builds: &[Option<&'static str>],
    #[case] is_resumed: bool,
) {
    let service = Service::start(builds, breaks_first).await;
    let host = &hosts(1, 2).await[0];
    service.list(host, 1, |_, _| true);
    for round in 0..12 {
        let id = format!("r{round}");
        let answer = common::call(host, &begin(&id)).await;
        assert_eq!(answer.is_whole, is_resumed, "{answer:?}");
        let expected = whole(1, if is_resumed { 6 } else { 2 });
        assert_eq!(answer.text(), expected);
        assert_eq!(service.builds(&[&id]).len(), 1);
    }
}

// Guards against a silent stream that an endpoint of another build takes over.
#[tokio::test]
async fn a_silent_stream_is_not_taken_over_by_another_build() {
    let service = Service::start(&[Some("v1"), Some("v2")], silent_after_events).await;
    let host = &hosts(1, 2).await[0];
    service.list(host, 1, |_, _| true);
    let answer = common::call(host, &begin("r1")).await;
    assert_eq!((answer.is_whole, answer.text()), (true, whole(1, 6)));
    assert_eq!(service.count(), 1);
}

// Guards against a rule for streams that also binds requests without an event.
#[tokio::test]
async fn a_request_without_an_event_is_retried_at_any_build() {
    let served = sync::Arc::new(sync::atomic::AtomicUsize::new(0));
    let mut endpoints = Vec::new();
    for (id, build) in [("e0", "v1"), ("e1", "v2")] {
        let served = served.clone();
        let script = move |request: &endpoint::Request| match served
            .fetch_add(1, sync::atomic::Ordering::SeqCst)
        {
            0 => vec![Step::Reset],
            _ => vec![
                endpoint::stream_head(request),
                endpoint::chunk(&whole(1, 6)),
                endpoint::stream_end(),
            ],
        };
        let endpoint = endpoint::Endpoint::start(id, script).await;
        endpoints.push((endpoint, Some(build)));
    }
    let service = Service(endpoints);
    let host = &hosts(1, 2).await[0];
    service.list(host, 1, |_, _| true);
    let answer = common::call(host, &begin("r1")).await;
    assert_eq!((answer.is_whole, answer.text()), (true, whole(1, 6)));
}

// Guards against a caller that takes up a stream at another host and build.
#[tokio::test]
async fn a_stream_taken_up_at_another_host_goes_on_at_its_build() {
    let builds = [Some("v1"), Some("v1"), Some("v2"), Some("v2")];
    let service = Service::start(&builds, breaks_first).await;
    let hosts = hosts(5, 1).await;
    for host in &hosts {
        service.list(host, 1, |_, _| true);
    }
    for round in 0..20 {
        let (first, second) = (format!("a{round}"), format!("b{round}"));
        let (from, to) = (&hosts[round % 5], &hosts[(round + 1 + round / 5) % 5]);
        let cut = common::call(from, &begin(&first)).await;
        assert_eq!((cut.is_whole, cut.text()), (false, whole(1, 2)));
        let rest = common::call(to, &resume(&second, &first)).await;
        assert_eq!((rest.status, rest.text()), (200, whole(3, 6)), "{rest:?}");
        assert_eq!(service.builds(&[&first, &second]).len(), 1);
    }
}

// Guards against a host that lists one build and takes it for the build of a stream
// that began at another one.
#[tokio::test]
async fn a_host_with_another_list_does_not_guess_the_build() {
    let builds = [Some("v1"), Some("v1"), Some("v2"), Some("v2")];
    let service = Service::start(&builds, breaks_first).await;
    let hosts = hosts(5, 1).await;
    for host in &hosts {
        service.list(host, 1, |_, _| true);
    }
    service.list(&hosts[0], 2, |_, build| build == Some("v1"));
    let mut served = 0;
    for round in 0..12 {
        let (first, second) = (format!("a{round}"), format!("b{round}"));
        common::call(&hosts[1], &begin(&first)).await;
        let rest = common::call(&hosts[0], &resume(&second, &first)).await;
        assert_eq!(service.builds(&[&first, &second]).len(), 1);
        assert!(rest.status == 200 || rest.status == 503, "{rest:?}");
        served += usize::from(rest.status == 200);
        if rest.status == 200 {
            assert_eq!(service.builds(&[&first]), [Some("v1")]);
        }
    }
    assert!((1..12).contains(&served), "{served} of 12 served");
}

// Guards against a host that does not know the build and guesses it.
#[tokio::test]
async fn a_stream_of_an_unknown_build_is_refused_as_not_run() {
    let service = Service::start(&[Some("v1"), Some("v2")], breaks_first).await;
    let host = &hosts(1, 1).await[0];
    service.list(host, 1, |_, _| true);
    let answer = common::call(host, &resume("b1", "a1")).await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.header("retry-after").is_some(), "{answer:?}");
    assert_eq!(service.count(), 0);
}

// Guards against refusals where only one build can have begun the stream.
#[tokio::test]
async fn a_stream_without_a_record_goes_on_where_one_build_is_listed() {
    let service = Service::start(&[Some("v1"), Some("v1")], breaks_first).await;
    let hosts = hosts(3, 1).await;
    for host in &hosts {
        service.list(host, 1, |_, _| true);
    }
    wait_for_history(&hosts).await;
    let rest = common::call(&hosts[1], &resume("b1", "a1")).await;
    assert_eq!((rest.status, rest.text()), (200, whole(3, 6)), "{rest:?}");
}

// Guards against refusals of the streams that are open when a second build appears.
#[tokio::test]
async fn a_stream_begun_before_another_build_was_listed_goes_on_at_the_first() {
    let builds = [Some("v1"), Some("v1"), Some("v2")];
    let service = Service::start(&builds, breaks_first).await;
    let hosts = hosts(3, 1).await;
    for host in &hosts {
        service.list(host, 1, |_, build| build == Some("v1"));
    }
    wait_for_history(&hosts).await;
    let cut = common::call(&hosts[0], &begin("a1")).await;
    assert_eq!((cut.is_whole, cut.text()), (false, whole(1, 2)));
    for host in &hosts {
        service.list(host, 2, |_, _| true);
    }
    tokio::time::sleep(common::ms(50)).await;
    for (index, host) in hosts.iter().enumerate() {
        let id = format!("b{index}");
        let rest = common::call(host, &resume(&id, "a1")).await;
        assert_eq!((rest.status, rest.text()), (200, whole(3, 6)), "{rest:?}");
        assert_eq!(service.builds(&[&id]), [Some("v1")]);
    }
}

// Guards against a host that takes the builds that it lists for those of the time
// before it started, or before it last lost contact with the platform.
#[tokio::test]
async fn a_host_without_history_does_not_guess_the_build() {
    let service = Service::start(&[Some("v1"), Some("v1")], breaks_first).await;
    let hosts = hosts(1, 1).await;
    let host = &hosts[0];
    service.list(host, 1, |_, _| true);
    assert_eq!(common::call(host, &resume("b1", "a1")).await.status, 503);
    wait_for_history(&hosts).await;
    assert_eq!(common::call(host, &resume("b2", "a2")).await.status, 200);
    tokio::time::sleep(common::ms(5_200)).await;
    assert_eq!(common::call(host, &resume("b3", "a3")).await.status, 503);
    host.confirm_plan();
    assert_eq!(common::call(host, &resume("b4", "a4")).await.status, 503);
    wait_for_history(&hosts).await;
    assert_eq!(common::call(host, &resume("b5", "a5")).await.status, 200);
}

// Guards against a stream that is joined from two builds after the kill of all hosts: it
// began while the time-out of its route was longer, and its build has left since.
#[tokio::test]
async fn a_host_does_not_guess_the_build_after_the_time_outs_were_shortened() {
    let service = Service::start(&[Some("v2"), Some("v2")], breaks_first).await;
    let host = &hosts(1, 1).await[0];
    service.list(host, 1, |_, _| true);
    // Two of the time-outs in force; the stream may be four of them old.
    for _ in 0..4 {
        tokio::time::sleep(common::ms(common::builds::TIMEOUT_MS / 2 + 50)).await;
        host.confirm_plan();
    }
    let answer = common::call(host, &resume("b1", "a1")).await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(service.count(), 0);
}

// Guards against a stream that is taken up at the only build that is listed, after
// the build that began it was replaced.
#[tokio::test]
async fn a_stream_without_a_record_is_refused_after_its_build_was_replaced() {
    let service = Service::start(&[Some("v1"), Some("v2")], breaks_first).await;
    let hosts = hosts(3, 1).await;
    for host in &hosts {
        service.list(host, 1, |_, build| build == Some("v1"));
    }
    wait_for_history(&hosts).await;
    for host in &hosts {
        service.list(host, 2, |_, build| build == Some("v2"));
    }
    for host in &hosts {
        let rest = common::call(host, &resume("b1", "unknown")).await;
        assert_eq!(rest.status, 503, "{rest:?}");
    }
    assert_eq!(service.count(), 0);
    wait_for_history(&hosts).await;
    let rest = common::call(&hosts[0], &resume("b2", "unknown")).await;
    assert_eq!(rest.status, 200, "{rest:?}");
}

// Guards against a stream that goes on in a service to which its route has moved.
#[tokio::test]
async fn a_stream_without_a_record_is_refused_after_its_route_has_moved() {
    let service = Service::start(&[Some("v1"), Some("v2")], breaks_first).await;
    let hosts = hosts(1, 1).await;
    let host = &hosts[0];
    let entries = service.0.iter().zip(["s", "t"]).map(|(entry, name)| {
        let mut listed = entry.0.listed();
        listed.build = entry.1.map(str::to_owned);
        listed.service = name.to_owned();
        (listed.id.clone(), edge::Entry::Endpoint(listed), 1)
    });
    let entries = entries.collect();
    host.update_endpoints(|now, registry| registry.replace(now, entries, 1));
    wait_for_history(&hosts).await;
    let mut moved = plan(1);
    moved.revision = 3;
    for route in &mut moved.routes {
        route.targets[0].service = "t".into();
    }
    host.apply_plan(moved, "test");
    let answer = common::call(host, &resume("b1", "a1")).await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(service.count(), 0);
}
