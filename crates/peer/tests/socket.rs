//! Guards against datagrams that are accepted without a shared key, and against
//! invalid datagrams that stop the receiver.

mod support;

use support::{in_time, keys};

fn packet(serial: u64) -> wire::Packet {
    wire::Packet::Claim(once::Claim {
        name: "entry".into(),
        incarnation: 1,
        epoch: 2,
        serial,
        ack: None,
    })
}

async fn bind(keys: peer::Keys) -> peer::Socket {
    let any = "127.0.0.1:0".parse().expect("address");
    peer::Socket::bind(any, keys).await.expect("bind")
}

#[tokio::test]
async fn only_authentic_datagrams_arrive() {
    let ours = keys(&["one"]);
    let receiver = bind(ours.clone()).await;
    let to = receiver.address().expect("address");
    bind(keys(&["two"]))
        .await
        .send(to, &packet(1))
        .await
        .expect("send");

    let plain = tokio::net::UdpSocket::bind("127.0.0.1:0")
        .await
        .expect("bind");
    let keyring = wire::Keyring::new(&["one"]).expect("keyring");
    let mut forged = packet(2).seal(&keyring).expect("seal");
    forged[10] ^= 1;
    plain.send_to(&forged, to).await.expect("send");
    plain.send_to(&[7; 2_000], to).await.expect("send");
    plain.send_to(&[], to).await.expect("send");

    let sender = bind(keys(&["one"])).await;
    sender.send(to, &packet(3)).await.expect("send");
    let (from, received) = in_time(receiver.receive()).await.expect("receive");
    assert_eq!(received, packet(3));
    assert_eq!(from, sender.address().expect("address"));
    let counters = receiver.counters();
    assert_eq!(counters.get(peer::Count::DatagramUnauthentic), 2);
    assert_eq!(counters.get(peer::Count::DatagramMalformed), 2);
    assert_eq!(counters.get(peer::Count::DatagramReceived), 1);

    ours.replace(wire::Keyring::new(&["three", "one"]).expect("keyring"));
    sender.send(to, &packet(4)).await.expect("send");
    let (_, received) = in_time(receiver.receive()).await.expect("receive");
    assert_eq!(received, packet(4));
}
