//! Guards against links of hosts without a shared key, against invalid bytes that
//! stop or crash the server, and against refused links during a key rotation.

mod support;

use core::time;
use rand::{RngExt, SeedableRng};
use support::{Home, ask, client, in_time, keys};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

#[tokio::test]
async fn a_wrong_key_is_refused() {
    let home = Home::start(keys(&["one"]));
    let client = client(keys(&["two"]));
    let refused = in_time(client.ask(home.server.address(), ask(1, "now"))).await;
    assert_eq!(refused, Err(peer::Error::NotSent(peer::Cause::Handshake)));
    let counters = home.server.counters();
    assert_eq!(counters.get(peer::Count::HandshakeUnauthentic), 1);
    assert_eq!(counters.get(peer::Count::LinkOpened), 0);
}

#[tokio::test]
async fn another_version_is_refused() {
    let home = Home::start(keys(&["one"]));
    let keyring = wire::Keyring::new(&["one"]).expect("keyring");
    let hello = wire::encode(&wire::Hello {
        version: wire::limit::VERSION + 1,
        name: "x".into(),
        incarnation: 1,
        nonce: [1; wire::limit::NONCE_BYTES],
        keys: keyring.ids(),
    });
    let hello = hello.expect("encode");
    let address = home.server.address();
    let mut stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("connect");
    let length = u16::try_from(hello.len()).expect("short");
    stream.write_u16_le(length).await.expect("write");
    stream.write_all(&hello).await.expect("write");
    let mut rest = Vec::new();
    let _ = in_time(stream.read_to_end(&mut rest)).await;
    assert!(rest.is_empty());
    assert_eq!(home.server.counters().get(peer::Count::HandshakeVersion), 1);
}

#[tokio::test]
async fn a_replayed_proof_is_refused() {
    // Records one handshake and sends the bytes of the connecting side again.
    let home = Home::start(keys(&["one"]));
    let address = home.server.address();
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind");
    let tapped = listener.local_addr().expect("address");
    let tap = tokio::spawn(async move {
        let (mut near, _) = listener.accept().await.expect("accept");
        let mut far = tokio::net::TcpStream::connect(address)
            .await
            .expect("connect");
        let mut sent = Vec::new();
        let mut bytes = [0; 4_096];
        // Records hello and proof; the welcome is forwarded between them.
        for step in 0..3 {
            if step == 1 {
                let length = far.read(&mut bytes).await.expect("read");
                near.write_all(&bytes[..length]).await.expect("write");
                continue;
            }
            let length = near.read(&mut bytes).await.expect("read");
            sent.extend_from_slice(&bytes[..length]);
            far.write_all(&bytes[..length]).await.expect("write");
        }
        sent
    });
    let client = client(keys(&["one"]));
    let _ = in_time(client.ask(tapped, ask(1, "now"))).await;
    let recorded = in_time(tap).await.expect("recorded");
    let before = home
        .server
        .counters()
        .get(peer::Count::HandshakeUnauthentic);
    let mut stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("connect");
    stream.write_all(&recorded).await.expect("write");
    let mut rest = Vec::new();
    let _ = in_time(stream.read_to_end(&mut rest)).await;
    let after = home
        .server
        .counters()
        .get(peer::Count::HandshakeUnauthentic);
    assert_eq!(after, before + 1);
}

#[tokio::test]
async fn keys_can_be_rotated() {
    let (ours, theirs) = (keys(&["old"]), keys(&["old"]));
    let home = Home::start(theirs.clone());
    let address = home.server.address();
    let keyring = |secrets: &[&str]| wire::Keyring::new(secrets).expect("keyring");
    let granted = |id| {
        let client = client(ours.clone());
        async move { in_time(client.ask(address, ask(id, "now"))).await.is_ok() }
    };
    assert!(granted(1).await);
    theirs.replace(keyring(&["new", "old"]));
    assert!(granted(2).await);
    ours.replace(keyring(&["new", "old"]));
    assert!(granted(3).await);
    theirs.replace(keyring(&["new"]));
    assert!(granted(4).await);
    ours.replace(keyring(&["old"]));
    assert!(!granted(5).await);
}

#[tokio::test]
async fn random_bytes_are_rejected() {
    let home = Home::start(keys(&["one"]));
    let address = home.server.address();
    let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(11);
    for round in 0..40_usize {
        let mut bytes = vec![0; round * 97];
        random.fill(&mut bytes[..]);
        if round % 2 == 0 && bytes.len() > 2 {
            // A valid length, so that the frame itself is read.
            bytes[..2].copy_from_slice(&64_u16.to_le_bytes());
        }
        let mut stream = tokio::net::TcpStream::connect(address)
            .await
            .expect("connect");
        let _ = stream.write_all(&bytes).await;
        let _ = stream.shutdown().await;
        let mut rest = Vec::new();
        let _ = in_time(stream.read_to_end(&mut rest)).await;
        assert!(rest.is_empty());
    }
    let client = client(keys(&["one"]));
    assert!(in_time(client.ask(address, ask(1, "now"))).await.is_ok());
    assert_eq!(home.server.counters().get(peer::Count::LinkOpened), 1);
}

#[tokio::test]
async fn an_incomplete_handshake_times_out() {
    let home = Home::with(keys(&["one"]), |options| {
        options.handshake_timeout = time::Duration::from_millis(50);
        options.handshakes_max = 2;
    });
    let address = home.server.address();
    let mut slow = tokio::net::TcpStream::connect(address)
        .await
        .expect("connect");
    slow.write_all(&[200]).await.expect("one byte");
    let mut rest = Vec::new();
    let _ = in_time(slow.read_to_end(&mut rest)).await;
    assert_eq!(home.server.counters().get(peer::Count::HandshakeTimeout), 1);
    let client = client(keys(&["one"]));
    assert!(in_time(client.ask(address, ask(1, "now"))).await.is_ok());
}

#[tokio::test]
async fn invalid_rpc_bytes_end_only_their_link() {
    // A server that proves the key and then sends bytes that are no RPC message.
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind");
    let address = listener.local_addr().expect("address");
    let keyring = wire::Keyring::new(&["one"]).expect("keyring");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept");
        let length = stream.read_u16_le().await.expect("length");
        let mut hello = vec![0; length.into()];
        stream.read_exact(&mut hello).await.expect("hello");
        let mut welcome = wire::Welcome {
            version: wire::limit::VERSION,
            name: "x".into(),
            incarnation: 1,
            nonce: [1; wire::limit::NONCE_BYTES],
            key: keyring.signing_id(),
            proof: [0; 32],
        };
        welcome.sign(&keyring, &hello).expect("sign");
        let frame = wire::encode(&welcome).expect("encode");
        let length = u16::try_from(frame.len()).expect("short");
        stream.write_u16_le(length).await.expect("write");
        stream.write_all(&frame).await.expect("write");
        stream.write_all(&[0xff; 4_096]).await.expect("write");
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
    });
    let home = Home::start(keys(&["one"]));
    let client = client(keys(&["one"]));
    let refused = in_time(client.ask(address, ask(1, "now"))).await;
    assert!(
        matches!(refused, Err(peer::Error::NotSent(_))),
        "{refused:?}"
    );
    let other = in_time(client.ask(home.server.address(), ask(1, "now"))).await;
    assert!(other.is_ok());
}
