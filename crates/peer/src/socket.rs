use std::io;
use std::net;
use std::sync;

use crate::counters;
use crate::keys;
use crate::limiter;

struct Inner {
    socket: tokio::net::UdpSocket,
    keys: keys::Keys,
    counters: counters::Counters,
    limiter: limiter::Limiter,
}

/// UDP socket for signed datagrams. Clones share the socket.
#[derive(Clone)]
pub struct Socket(sync::Arc<Inner>);

impl Socket {
    /// Binds a socket.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(address: net::SocketAddr, keys: keys::Keys) -> io::Result<Self> {
        Ok(Self(sync::Arc::new(Inner {
            socket: tokio::net::UdpSocket::bind(address).await?,
            keys,
            counters: counters::Counters::default(),
            limiter: limiter::Limiter::default(),
        })))
    }

    /// Returns the local address, with the actual port if port 0 was bound.
    ///
    /// # Errors
    ///
    /// Fails if the system does not return the address.
    pub fn address(&self) -> io::Result<net::SocketAddr> {
        self.0.socket.local_addr()
    }

    /// Returns the counters of the socket since it was bound.
    pub fn counters(&self) -> &counters::Counters {
        &self.0.counters
    }

    /// Signs and sends a datagram.
    ///
    /// # Errors
    ///
    /// Fails if a field of the message exceeds its limit or the socket fails.
    pub async fn send(&self, to: net::SocketAddr, packet: &wire::Packet) -> io::Result<()> {
        let sealed = packet
            .seal(&self.0.keys.current())
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))?;
        self.0.socket.send_to(&sealed, to).await?;
        let counters = &self.0.counters;
        counters.add(counters::Count::DatagramSent);
        counters.add_many(counters::Count::DatagramBytesSent, sealed.len());
        Ok(())
    }

    /// Waits for the next authentic datagram and returns it with its sender. Other
    /// datagrams are counted and dropped.
    ///
    /// The future is cancel-safe: dropping it loses no datagram.
    ///
    /// # Errors
    ///
    /// Fails if the socket fails.
    pub async fn receive(&self) -> io::Result<(net::SocketAddr, wire::Packet)> {
        let mut buffer = [0; wire::limit::DATAGRAM_BYTES + 1];
        loop {
            let (length, from) = match self.0.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                // Linux reports the ICMP answer to an earlier datagram as this error.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => continue,
                Err(error) => return Err(error),
            };
            match wire::Packet::open(&buffer[..length], &self.0.keys.current()) {
                Ok(packet) => {
                    let counters = &self.0.counters;
                    counters.add(counters::Count::DatagramReceived);
                    counters.add_many(counters::Count::DatagramBytesReceived, length);
                    return Ok((from, packet));
                }
                Err(error) => self.drop_datagram(from, error),
            }
        }
    }

    fn drop_datagram(&self, from: net::SocketAddr, error: wire::Error) {
        let count = match error {
            wire::Error::Unauthentic | wire::Error::UnknownKey(_) => {
                counters::Count::DatagramUnauthentic
            }
            _ => counters::Count::DatagramMalformed,
        };
        self.0.counters.add(count);
        self.0
            .limiter
            .warn(format_args!("dropped a datagram from {from}: {error}"));
    }
}
