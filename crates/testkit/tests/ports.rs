//! Guards against tests that fail because another test, of the same process or of
//! another one, binds a port between its choice and its use.

use std::collections;
use std::net;

use testkit::ports;

const LOCAL: net::Ipv4Addr = net::Ipv4Addr::LOCALHOST;

#[test]
fn a_port_is_not_returned_twice_before_it_is_bound() {
    let count = 500;
    let ports: collections::HashSet<net::SocketAddr> = (0..count)
        .map(|_| ports::reserve_local().expect("port"))
        .collect();
    assert_eq!(ports.len(), count);
}

#[test]
fn threads_get_different_ports() {
    let reserve = || ports::reserve(&[LOCAL], &[0, 1, 2]).expect("ports");
    let threads: Vec<_> = (0..8)
        .map(|_| std::thread::spawn(move || (0..20).map(|_| reserve()).collect::<Vec<_>>()))
        .collect();
    let firsts = threads
        .into_iter()
        .flat_map(|thread| thread.join().expect("thread"));
    let ports: Vec<u16> = firsts.flat_map(|first| first..first + 3).collect();
    let distinct: collections::HashSet<u16> = ports.iter().copied().collect();
    assert_eq!(distinct.len(), ports.len());
}

#[test]
fn reserved_ports_can_be_bound() {
    let address = ports::reserve_local().expect("port");
    let _listener = net::TcpListener::bind(address).expect("a listener");
    let _socket = net::UdpSocket::bind(address).expect("a socket");
}
