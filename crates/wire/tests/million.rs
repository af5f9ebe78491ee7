//! Guards against bytes that make a decoder panic, and against accepted messages that
//! cannot be encoded again.

use proptest::prelude::*;
use proptest::test_runner;

/// Number of cases of the long run.
const LONG_RUN_CASES: u32 = 1_000_000;
/// Secret of the key that signs the datagrams.
const SECRET: &str = "one";
/// Length of version, key id and tag, which precede the body of a datagram.
const HEADER_BYTES: usize = 22;

/// Modification of a message: bytes to overwrite, and a length to truncate it to.
#[derive(Clone, Debug)]
struct Change {
    bytes: Vec<(u16, u8)>,
    length: Option<u16>,
}

fn change() -> impl Strategy<Value = Change> {
    let bytes = proptest::collection::vec((any::<u16>(), any::<u8>()), 0..6);
    let length = proptest::option::weighted(0.1, any::<u16>());
    (bytes, length).prop_map(|(bytes, length)| Change { bytes, length })
}

fn apply(message: &[u8], change: &Change) -> Vec<u8> {
    let mut changed = message.to_vec();
    for &(at, value) in &change.bytes {
        let at = usize::from(at) % changed.len();
        changed[at] = value;
    }
    if let Some(length) = change.length {
        changed.truncate(usize::from(length) % (message.len() + 1));
    }
    changed
}

type Check = Result<(), test_runner::TestCaseError>;

/// Decodes bytes; an accepted message must be the same after encoding and decoding.
fn decode<M: wire::Message + PartialEq + core::fmt::Debug>(bytes: &[u8]) -> Check {
    if let Ok(message) = wire::decode::<M>(bytes) {
        let again = wire::encode(&message).and_then(|bytes| wire::decode::<M>(&bytes));
        prop_assert_eq!(again, Ok(message));
    }
    Ok(())
}

fn decode_all(bytes: &[u8]) -> Check {
    decode::<wire::Ask>(bytes)?;
    decode::<wire::Reply>(bytes)?;
    decode::<wire::Done>(bytes)?;
    decode::<wire::Run>(bytes)?;
    decode::<wire::Outcome>(bytes)?;
    decode::<wire::Fetch>(bytes)?;
    decode::<wire::Files>(bytes)?;
    decode::<wire::Crash>(bytes)?;
    decode::<wire::Hello>(bytes)?;
    decode::<wire::Welcome>(bytes)?;
    decode::<wire::Proof>(bytes)
}

fn encoded<M: wire::Message>(message: &M) -> Vec<u8> {
    wire::encode(message).expect("encodes")
}

fn ask() -> wire::Ask {
    wire::Ask {
        pool: "braille".into(),
        shard: 3,
        id: 77,
        class: "proof".into(),
        team: 9,
        caller: 10,
        prompt_tokens: 900,
        max_tokens: Some(4),
        prefix: 5,
        fingerprint: 6,
        budget_ms: 30_000,
        attempt: 1,
        avoid: Some("engine-4".into()),
    }
}

fn run() -> wire::Run {
    wire::Run {
        request: wire::Request {
            method: "POST".into(),
            path: "/services/orders/confirm?x=1".into(),
            headers: vec![("x-note".into(), vec![0xe9, 0x20])],
            body: vec![7; 20],
        },
        class: "orders".into(),
        team: 1,
        caller: 2,
        key: "k-1".into(),
        fingerprint: 3,
        request_time_ms: Some(0),
        budget_ms: 4,
    }
}

fn refusal() -> wire::Refusal {
    wire::Refusal {
        kind: "overload".into(),
        message: "the queue is full".into(),
        retry_after_ms: Some(0),
        wait_ms: 1,
    }
}

fn messages() -> Vec<Vec<u8>> {
    let grant = wire::Grant {
        endpoint: "engine-1".into(),
        address: "[2001:db8::1]:8000".parse().expect("address"),
        fence: 12,
        dispatch_by_ms: 1_000,
        wait_ms: 40,
    };
    let answer = wire::Answer {
        status: 201,
        headers: vec![("a".into(), b"b".to_vec())],
        body: b"{}".to_vec(),
    };
    let files = wire::Files {
        revision: 8,
        content: [1; 32],
        changed: vec![("20.ini".into(), "[host]\n".into())],
        removed: vec!["30.ini".into()],
    };
    let hello = wire::Hello {
        version: 1,
        name: "router-1".into(),
        incarnation: 5,
        nonce: [2; wire::limit::NONCE_BYTES],
        keys: vec![1, 2],
    };
    let fetch = wire::Fetch {
        known: vec![("10.ini".into(), [4; 32])],
    };
    vec![
        encoded(&ask()),
        encoded(&run()),
        encoded(&wire::Reply::Grant(grant)),
        encoded(&wire::Reply::Refusal(refusal())),
        encoded(&wire::Outcome::Answer(answer)),
        encoded(&files),
        encoded(&hello),
        encoded(&fetch),
    ]
}

fn digest() -> fleet::Digest {
    let entry = |index: u16| fleet::Entry {
        name: format!("router-{index}"),
        incarnation: 1_796_000_000_000 + u64::from(index),
        counter: 7_919 * u64::from(index),
        phase: fleet::Phase::Up,
        suspected: index == 3,
        data_centre: format!("dc{}", index % 3),
        region: "north".into(),
        peer: std::net::SocketAddr::from(([10, 0, 0, 1], 7_400 + index)),
        caller: std::net::SocketAddr::from(([10, 0, 0, 1], 8_080)),
    };
    fleet::Digest {
        entries: (0..8).map(entry).collect(),
        revision: 1_234_567,
        content: [9; 32],
    }
}

fn check_datagram(sealed: &[u8], change: &Change, keys: &wire::Keyring) -> Check {
    let changed = apply(sealed, change);
    if changed != sealed {
        prop_assert!(wire::Packet::open(&changed, keys).is_err());
    }
    // A faulty host with a key can sign any body.
    let body = apply(&sealed[HEADER_BYTES..], change);
    if let Ok(packet) = wire::Packet::parse(&body) {
        let again = packet
            .seal(keys)
            .and_then(|sealed| wire::Packet::open(&sealed, keys));
        // Entries that do not fit are left out, so only claims are compared.
        if matches!(packet, wire::Packet::Claim(_)) {
            prop_assert_eq!(again, Ok(packet));
        }
    }
    Ok(())
}

fn repeat<S: Strategy>(name: &str, cases: u32, strategy: &S, check: impl Fn(S::Value) -> Check) {
    let start = std::time::Instant::now();
    let config = test_runner::Config {
        cases,
        rng_seed: test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    if let Err(failure) = test_runner::TestRunner::new(config).run(strategy, check) {
        panic!("{name}: {failure}");
    }
    println!("{name}: {cases} cases in {:?}", start.elapsed());
}

fn check_every_decoder(cases: u32) {
    let random = proptest::collection::vec(any::<u8>(), 0..200);
    repeat("random bytes", cases, &random, |bytes| {
        drop(wire::Packet::parse(&bytes));
        decode_all(&bytes)
    });
    let messages = messages();
    let changed = (0..messages.len(), change());
    repeat("changed messages", cases, &changed, |(index, change)| {
        decode_all(&apply(&messages[index], &change))
    });
    let keys = wire::Keyring::new(&[SECRET]).expect("keyring");
    let claim = once::Claim {
        name: "router-1".into(),
        incarnation: 5,
        epoch: 4,
        serial: 99,
        ack: None,
    };
    let packets = [wire::Packet::Digest(digest()), wire::Packet::Claim(claim)];
    let sealed = packets.map(|packet| packet.seal(&keys).expect("seals"));
    let changed = (0..sealed.len(), change());
    repeat("changed datagrams", cases, &changed, |(index, change)| {
        check_datagram(&sealed[index], &change, &keys)
    });
}

#[test]
fn invalid_messages_do_not_panic() {
    check_every_decoder(1_000);
}

/// Runs a million cases of each kind:
/// `cargo test --release -p wire --test million -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes"]
fn a_million_invalid_messages_do_not_panic() {
    check_every_decoder(LONG_RUN_CASES);
}
