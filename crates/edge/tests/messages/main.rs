//! Compatibility of datagrams and snapshots with the build before cold endpoints and
//! evacuations. The files in `4885b7c` were written by the encoder of that commit.
//! Guards against bytes of that build that are decoded in another way, against new fields
//! that change what that build decodes, and against panics on truncated messages.

mod content;

#[path = "../../src/extension.rs"]
mod extension;
#[expect(dead_code, reason = "the host uses the rest")]
#[path = "../../src/gossip.rs"]
mod gossip;
#[expect(dead_code, reason = "the host uses the rest")]
#[path = "../../src/history.rs"]
mod history;
#[expect(dead_code, reason = "the host uses the rest")]
#[path = "../../src/snapshot.rs"]
mod snapshot;

use rstest::rstest;

const DATAGRAMS: [&[u8]; 6] = [
    include_bytes!("4885b7c/datagram-work.bin"),
    include_bytes!("4885b7c/datagram-extension.bin"),
    include_bytes!("4885b7c/datagram-origins.bin"),
    include_bytes!("4885b7c/datagram-blame.bin"),
    include_bytes!("4885b7c/datagram-limits.bin"),
    include_bytes!("4885b7c/datagram-brittle.bin"),
];

const SNAPSHOT: &[u8] = include_bytes!("4885b7c/snapshot.bin");

/// Returns the content of a datagram and its bytes as the earlier build wrote them.
fn before(last: &str) -> (gossip::Message, &'static [u8]) {
    let place = content::LAST.iter().position(|name| *name == last);
    (
        content::message(last),
        DATAGRAMS[place.expect("a datagram")],
    )
}

fn evacuated() -> steer::Evacuated {
    steer::Evacuated {
        stated: plan::Evacuation {
            version: plan::Version::new(7, 9),
            data_centres: ["dc1", "dc2"].map(String::from).into(),
        },
        kept: vec![steer::Kept {
            data_centre: "dc3".into(),
            left_ms: 8_000,
        }],
    }
}

fn cold() -> Vec<steer::cold::Summary> {
    let summary = |tag, left_ms| steer::cold::Summary {
        tag,
        started_ms: 1_700_000_000_000,
        left_ms,
        age_ms: 70,
    };
    vec![summary(51, Some(2_400)), summary(52, None)]
}

/// Sets the fields that the earlier build does not know, up to this one.
fn extend(message: &mut gossip::Message, last: &str) {
    message.evacuated = evacuated();
    if last != "evacuated" {
        message.cold = cold();
    }
    if last == "rates" {
        message.rates = vec![steer::rate::Summary {
            tag: 51,
            speed: 140,
            confidence: 9,
        }];
    }
}

/// Returns a snapshot with the fields that the earlier build does not know, up to this one.
fn extended(last: &str) -> snapshot::Snapshot {
    let mut snapshot = content::snapshot();
    snapshot.evacuated = evacuated();
    if last != "evacuated" {
        let settings = plan::Cold {
            start: core::time::Duration::from_secs(3),
            per_s: 10.0,
        };
        snapshot.cold = snapshot::Cold {
            settings: vec![("llm".into(), settings)],
            entries: vec![Some((2_500, 100)), None],
            summaries: cold(),
        };
    }
    if ["held", "update"].contains(&last) {
        snapshot.held = vec![("e2".into(), 900)];
    }
    if last == "update" {
        snapshot.update = Some(history::Update::default());
    }
    snapshot
}

/// Returns what hosts use of a snapshot, as text.
fn text(snapshot: &snapshot::Snapshot) -> String {
    let builds: Vec<Option<&str>> = snapshot
        .endpoints
        .iter()
        .map(|endpoint| endpoint.build.as_deref())
        .collect();
    format!("{snapshot:?} {builds:?}")
}

/// Moves what follows a snapshot to its places in the configuration and the endpoints, as
/// decoding does.
fn place(mut snapshot: snapshot::Snapshot) -> snapshot::Snapshot {
    for (endpoint, build) in snapshot.endpoints.iter_mut().zip(&mut snapshot.builds) {
        endpoint.build = build.take();
    }
    let plan = snapshot.plan.as_mut().expect("configuration");
    plan.era = snapshot.extension.plan_era;
    let settings = snapshot.cold.settings.first();
    plan.services[0].cold = settings.map(|(_, cold)| *cold);
    snapshot
}

#[rstest]
fn a_datagram_of_the_earlier_build_is_decoded(
    #[values("work", "extension", "origins", "blame", "limits", "brittle")] last: &str,
) {
    let (message, bytes) = before(last);
    let decoded = gossip::Message::decode(bytes).expect("decoded");
    assert_eq!(decoded, message);
    assert!(decoded.cold.is_empty() && !decoded.evacuated.stated.version.is_some());
}

/// Guards against a host whose messages grow or change although nothing is cold or
/// evacuated.
#[test]
fn a_datagram_without_the_new_states_is_encoded_as_before() {
    for last in &content::LAST[1..] {
        let (mut message, bytes) = before(last);
        assert_eq!(message.encode().expect("encoded"), bytes, "{last}");
    }
}

/// The earlier build reads the fields that it knows and ignores the bytes after them. What
/// it knows has to be the same bytes, and fields left out before have to be empty.
#[rstest]
fn the_earlier_build_finds_its_fields_before_the_new_ones(
    #[values("extension", "origins", "blame", "limits", "brittle")] last: &str,
    #[values("evacuated", "cold", "rates")] new: &str,
) {
    let (mut message, bytes) = before(last);
    extend(&mut message, new);
    let encoded = message.encode().expect("encoded");
    let rest = encoded.strip_prefix(bytes).expect("the same start");
    let left_out = match last {
        "extension" => 5,
        "origins" => 4,
        "blame" => 2,
        "limits" => 1,
        _ => 0,
    };
    // An empty list is one zero; the lists of crashes and completions are two.
    assert!(rest[..left_out].iter().all(|byte| *byte == 0), "{rest:?}");
    assert_ne!(rest[left_out], 0);
    assert_eq!(gossip::Message::decode(&encoded), Ok(message));
}

#[test]
fn a_snapshot_of_the_earlier_build_is_decoded() {
    let decoded = snapshot::Snapshot::decode(SNAPSHOT).expect("decoded");
    assert_eq!(text(&decoded), text(&place(content::snapshot())));
    assert!(decoded.cold.settings.is_empty() && decoded.held.is_empty());
    assert!(!decoded.evacuated.stated.version.is_some());
}

#[rstest]
fn the_earlier_build_finds_its_part_of_a_snapshot(
    #[values("evacuated", "cold", "held", "update")] new: &str,
) {
    let snapshot = extended(new);
    let encoded = snapshot.encode().expect("encoded");
    assert!(encoded.starts_with(SNAPSHOT));
    let decoded = snapshot::Snapshot::decode(&encoded).expect("decoded");
    assert_eq!(text(&decoded), text(&place(snapshot)));
}

/// A datagram that ends between two fields is one of an earlier build. Elsewhere it is
/// malformed.
#[rstest]
fn a_truncated_datagram_is_an_error_or_has_a_part_of_the_fields(
    #[values("work", "extension", "origins", "blame", "limits", "brittle")] last: &str,
    #[values("evacuated", "cold", "rates")] new: &str,
) {
    let (mut message, _) = before(last);
    extend(&mut message, new);
    let bytes = message.encode().expect("encoded");
    let mut whole = 0;
    for length in 0..bytes.len() {
        let Ok(decoded) = gossip::Message::decode(&bytes[..length]) else {
            continue;
        };
        whole += 1;
        let mut expected = message.clone();
        if decoded.rates.is_empty() {
            expected.rates.clear();
        }
        if decoded.cold.is_empty() {
            expected.cold.clear();
        }
        if !decoded.evacuated.stated.version.is_some() {
            expected.evacuated = steer::Evacuated::default();
        }
        if decoded.brittle.is_empty() {
            expected.brittle.clear();
        }
        if decoded.limits.is_empty() {
            expected.limits.clear();
        }
        if decoded.blame == gossip::Blame::default() {
            expected.blame = gossip::Blame::default();
        }
        if decoded.origins.is_empty() {
            expected.origins.clear();
        }
        if decoded.extension == extension::Extension::default() {
            expected.extension = extension::Extension::default();
        }
        assert_eq!(decoded, expected, "{length} of {} bytes", bytes.len());
    }
    // One for each field that follows another.
    let fields = match new {
        "evacuated" => 6,
        "cold" => 7,
        _ => 8,
    };
    assert_eq!(whole, fields);
}

#[rstest]
fn a_truncated_snapshot_is_an_error_or_has_a_part_of_the_fields(
    #[values("evacuated", "cold", "held", "update")] new: &str,
) {
    let snapshot = place(extended(new));
    let bytes = extended(new).encode().expect("encoded");
    let mut whole = 0;
    for length in 0..bytes.len() {
        let Ok(decoded) = snapshot::Snapshot::decode(&bytes[..length]) else {
            continue;
        };
        whole += 1;
        assert_eq!(decoded.endpoints.len(), snapshot.endpoints.len());
        assert_eq!(decoded.plan_revision, snapshot.plan_revision);
        assert_eq!(decoded.age_ms, snapshot.age_ms);
        if decoded.evacuated.stated.version.is_some() {
            assert_eq!(decoded.evacuated, snapshot.evacuated);
        }
        if !decoded.cold.settings.is_empty() {
            assert_eq!(
                format!("{:?}", decoded.cold),
                format!("{:?}", snapshot.cold)
            );
        }
        if !decoded.held.is_empty() {
            assert_eq!((new, &decoded.held), ("update", &snapshot.held));
        }
        assert!(decoded.update.is_none());
    }
    let fields = match new {
        "evacuated" => 4,
        "cold" => 5,
        "held" => 6,
        _ => 7,
    };
    assert_eq!(whole, fields);
}
