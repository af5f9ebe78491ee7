//! Ports for programs of tests that are told their addresses before they bind them.

use std::io;
use std::net;
use std::sync;

use rand::RngExt;

use crate::sync as locks;

/// Ports outside the range that the system assigns to outgoing connections, which
/// could take a port before the program binds it.
const PORTS: core::ops::Range<u16> = 10_000..30_000;

/// Address at which a listener marks a port as reserved for all processes.
const MARK: net::Ipv4Addr = net::Ipv4Addr::new(127, 255, 255, 254);

/// Number of first ports that are tried.
const TRIES: usize = 1_000;

/// Listeners of the reserved ports of this process.
static RESERVED: sync::Mutex<Vec<net::TcpListener>> = sync::Mutex::new(Vec::new());

/// Reserves ports, free for TCP and UDP at all of these addresses, and returns the
/// first one. `offsets` are the distances of the ports from the first one. No other
/// call, of this process or of another one, returns them until this process ends.
///
/// # Errors
///
/// Fails if no such ports are found.
pub fn reserve(ips: &[net::Ipv4Addr], offsets: &[u16]) -> io::Result<u16> {
    for _ in 0..TRIES {
        let first = rand::rng().random_range(PORTS);
        let marks: io::Result<Vec<_>> = offsets
            .iter()
            .map(|offset| net::TcpListener::bind((MARK, first + offset)))
            .collect();
        let Ok(marks) = marks else { continue };
        let mut ports = offsets.iter().map(|offset| first + offset);
        if ports.all(|port| ips.iter().all(|ip| is_free(*ip, port))) {
            locks::lock(&RESERVED).extend(marks);
            return Ok(first);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Reserves a port at 127.0.0.1 and returns its address.
///
/// # Errors
///
/// Fails if no port is free.
pub fn reserve_local() -> io::Result<net::SocketAddr> {
    let ip = net::Ipv4Addr::LOCALHOST;
    reserve(&[ip], &[0]).map(|port| (ip, port).into())
}

fn is_free(ip: net::Ipv4Addr, port: u16) -> bool {
    net::TcpListener::bind((ip, port)).is_ok() && net::UdpSocket::bind((ip, port)).is_ok()
}
