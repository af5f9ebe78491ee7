//! Guards against digests that do not fit into a datagram, against datagrams that are
//! accepted without a known key, and against panics on modified datagrams.

use proptest::prelude::*;
use proptest::test_runner;
use std::net;

fn keys(secrets: &[&str]) -> wire::Keyring {
    wire::Keyring::new(secrets).expect("keyring")
}

fn entry(index: u8, v6: bool) -> fleet::Entry {
    let host = format!("router-{:03}.dc{:02}", 100 + index, index % 11);
    let ip: net::IpAddr = if v6 {
        net::Ipv6Addr::new(0x2001, 0xdb8, 1, 2, 3, 4, 5, index.into()).into()
    } else {
        net::Ipv4Addr::new(10, 20 + index % 11, index, 200 - index).into()
    };
    fleet::Entry {
        name: host,
        incarnation: 1_796_000_000_000 + u64::from(index) * 86_399_991,
        counter: 1_000_003 + u64::from(index) * 7_919,
        phase: if index == 2 {
            fleet::Phase::Leaving
        } else {
            fleet::Phase::Up
        },
        suspected: index % 7 == 3,
        data_centre: format!("dc{:02}", index % 11),
        region: format!("region-{}", index % 3),
        peer: net::SocketAddr::new(ip, 7_401),
        caller: net::SocketAddr::new(ip, 8_080),
    }
}

fn digest(count: u8, v6: bool) -> fleet::Digest {
    fleet::Digest {
        entries: (0..count).map(|index| entry(index, v6)).collect(),
        revision: 1_234_567,
        content: std::array::from_fn(|index| 0xa0 ^ (index as u8 * 7)),
    }
}

fn claim() -> once::Claim {
    once::Claim {
        name: "router-101.dc01".into(),
        incarnation: 1_796_000_000_000,
        epoch: 4,
        serial: 99,
        ack: Some(once::Ack {
            incarnation: 1_796_000_000_001,
            epoch: 4,
            serial: 98,
        }),
    }
}

#[test]
fn twenty_four_entries_fit_into_a_datagram() {
    let packet = wire::Packet::Digest(digest(24, false));
    let sealed = packet.seal(&keys(&["one"])).expect("seals");
    println!("digest with 24 entries: {} bytes", sealed.len());
    assert!(sealed.len() <= wire::limit::DATAGRAM_BYTES);
    let opened = wire::Packet::open(&sealed, &keys(&["one"]));
    assert_eq!(opened, Ok(packet));
}

#[test]
fn different_addresses_are_preserved() {
    let mut digest = digest(3, false);
    digest.entries[1].incarnation = 3;
    digest.entries[2].incarnation = u64::MAX;
    digest.entries[1].caller = "192.0.2.7:443".parse().expect("address");
    digest.entries[2].peer = "[2001:db8::9]:7401".parse().expect("address");
    let packet = wire::Packet::Digest(digest);
    let sealed = packet.seal(&keys(&["one"])).expect("seals");
    assert_eq!(wire::Packet::open(&sealed, &keys(&["one"])), Ok(packet));
}

#[test]
fn entries_that_do_not_fit_are_left_out() {
    let full = digest(60, true);
    let sealed = wire::Packet::Digest(full.clone())
        .seal(&keys(&["one"]))
        .expect("seals");
    let opened = wire::Packet::open(&sealed, &keys(&["one"])).expect("opens");
    let wire::Packet::Digest(opened) = opened else {
        panic!("not a digest");
    };
    println!("IPv6 entries that fit: {}", opened.entries.len());
    assert!(opened.entries.len() >= 16);
    assert_eq!(opened.entries[..], full.entries[..opened.entries.len()]);
}

#[test]
fn keys_can_be_rotated() {
    let packet = wire::Packet::Claim(claim());
    let sealed = packet.seal(&keys(&["new", "old"])).expect("seals");
    println!("claim with acknowledgement: {} bytes", sealed.len());
    assert_eq!(
        wire::Packet::open(&sealed, &keys(&["old", "new"])),
        Ok(packet)
    );
    let refused = wire::Packet::open(&sealed, &keys(&["old"]));
    assert!(matches!(refused, Err(wire::Error::UnknownKey(_))));
}

#[test]
fn names_with_separators_are_not_encoded() {
    let mut digest = digest(2, false);
    digest.entries[1].name = "a\nb".into();
    let sealed = wire::Packet::Digest(digest).seal(&keys(&["one"]));
    assert_eq!(sealed, Err(wire::Error::Invalid("name")));
}

fn config() -> test_runner::Config {
    test_runner::Config {
        cases: 1_000,
        rng_seed: test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..test_runner::Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_modified_datagram_is_rejected(at in 0usize..1_200, bit in 0u8..8) {
        let keys = keys(&["one"]);
        let mut sealed = wire::Packet::Digest(digest(24, false)).seal(&keys).expect("seals");
        let at = at % sealed.len();
        sealed[at] ^= 1 << bit;
        prop_assert!(wire::Packet::open(&sealed, &keys).is_err());
        // A faulty host with a key can sign modified bytes, so the decoder must
        // handle them too.
        let _ = wire::Packet::parse(&sealed[22..]);
    }
}
