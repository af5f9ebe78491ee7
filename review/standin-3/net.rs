//! Sockets that the standard library cannot open: TCP connections from a chosen address.
//! Also free ports, and the base64 text of the platform's store.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::os::fd::FromRawFd;
use std::time::Duration;

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOCK_CLOEXEC: i32 = 0o2_000_000;
const SOL_SOCKET: i32 = 1;
const SO_SNDTIMEO: i32 = 21;

#[repr(C)]
struct Address {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

#[repr(C)]
struct Time {
    seconds: i64,
    microseconds: i64,
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn bind(socket: i32, address: *const Address, length: u32) -> i32;
    fn connect(socket: i32, address: *const Address, length: u32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Time, length: u32) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
}

impl Address {
    fn new(address: SocketAddrV4) -> Self {
        Self {
            family: AF_INET as u16,
            port: address.port().to_be_bytes(),
            ip: address.ip().octets(),
            zero: [0; 8],
        }
    }
}

/// Connects from a loopback address. The connection is established within `timeout`.
pub fn connect_from(from: Ipv4Addr, to: SocketAddrV4, timeout: Duration) -> io::Result<TcpStream> {
    let length = size_of::<Address>() as u32;
    // SAFETY: The call has no memory arguments.
    let descriptor = unsafe { socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
    if descriptor < 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: The descriptor is new and owned by nothing else.
    let stream = unsafe { TcpStream::from_raw_fd(descriptor) };
    let time = Time {
        seconds: timeout.as_secs() as i64,
        microseconds: i64::from(timeout.subsec_micros()),
    };
    let source = Address::new(SocketAddrV4::new(from, 0));
    let target = Address::new(to);
    // SAFETY: The pointers are valid during the calls, and the lengths are theirs.
    let is_connected = unsafe {
        setsockopt(
            descriptor,
            SOL_SOCKET,
            SO_SNDTIMEO,
            &time,
            size_of::<Time>() as u32,
        ) == 0
            && bind(descriptor, &source, length) == 0
            && connect(descriptor, &target, length) == 0
    };
    if is_connected {
        Ok(stream)
    } else {
        Err(io::Error::last_os_error())
    }
}

/// Ends a process of the scenario.
pub fn end_process(process: u32) {
    const SIGKILL: i32 = 9;
    // SAFETY: The call has no memory arguments.
    unsafe { kill(process as i32, SIGKILL) };
}

/// Returns the first of `count` consecutive ports that are free for TCP and UDP.
pub fn free_ports(ip: Ipv4Addr, count: u16) -> io::Result<u16> {
    let is_free = |port| {
        let address = SocketAddr::from((ip, port));
        TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
    };
    let seed = std::process::id() as u16 % 400;
    // Below the range from which the system chooses the ports of outgoing connections.
    let firsts = (0..1_000).map(|index| 12_000 + (seed + index) % 1_000 * 16);
    firsts
        .into_iter()
        .find(|first| (*first..first + count).all(is_free))
        .ok_or_else(|| io::Error::other("no free ports"))
}

/// Encodes bytes as base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for part in bytes.chunks(3) {
        let byte = |index: usize| u32::from(part.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= part.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}

/// Reads a whole HTTP head from a stream; returns it with the bytes after it, or `None` at
/// the end of the connection.
pub fn read_head(stream: &mut impl io::Read, rest: &mut Vec<u8>) -> io::Result<Option<String>> {
    let mut buffer = [0; 16 * 1024];
    loop {
        if let Some(end) = rest.windows(4).position(|part| part == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&rest[..end]).into_owned();
            rest.drain(..end + 4);
            return Ok(Some(head));
        }
        match stream.read(&mut buffer)? {
            0 => return Ok(None),
            count => rest.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Returns the value of a field of a head.
pub fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let fields = head.split("\r\n").skip(1);
    let fields = fields.filter_map(|line| line.split_once(':'));
    let mut found = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.trim())
}
