use std::sync::atomic;

/// Event or volume that the transport counts.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Count {
    /// Links opened, with a complete handshake.
    LinkOpened,
    /// Links ended for any reason.
    LinkEnded,
    /// Links closed because the other host did not answer or call in time.
    LinkSilent,
    /// Connection attempts that failed or did not complete in time.
    ConnectFailed,
    /// Connections refused because the limit of handshakes or links was reached.
    ConnectionRefused,
    /// Handshakes with a malformed or oversized frame.
    HandshakeMalformed,
    /// Handshakes with another protocol version.
    HandshakeVersion,
    /// Handshakes without a common key or with a wrong proof.
    HandshakeUnauthentic,
    /// Handshakes that did not complete in time or whose connection broke.
    HandshakeTimeout,
    /// Calls received, pings and reports included.
    CallReceived,
    /// Calls received with a malformed message.
    CallMalformed,
    /// Calls refused because a limit of the link was reached or an ask with the same
    /// id was pending.
    CallRefused,
    /// Calls that failed with [`crate::Error::NotSent`].
    CallNotSent,
    /// Calls that failed with [`crate::Error::Lost`] other than by a cancellation.
    CallLost,
    /// Reports dropped because the other host stayed unreachable or there were too
    /// many.
    ReportDropped,
    /// Datagrams sent.
    DatagramSent,
    /// Datagrams received and accepted.
    DatagramReceived,
    /// Datagrams dropped as malformed, oversized or of another version.
    DatagramMalformed,
    /// Datagrams dropped for an unknown key or a wrong HMAC.
    DatagramUnauthentic,
    /// Bytes of datagrams sent, without IP and UDP headers.
    DatagramBytesSent,
    /// Bytes of datagrams received and accepted, without IP and UDP headers.
    DatagramBytesReceived,
    /// Packed bytes of calls sent on links, without handshakes and TCP headers.
    LinkBytesSent,
    /// Packed bytes of calls received on links, without handshakes and TCP headers.
    LinkBytesReceived,
}

impl Count {
    /// All variants in the order of their declaration.
    pub const ALL: [Self; 23] = [
        Self::LinkOpened,
        Self::LinkEnded,
        Self::LinkSilent,
        Self::ConnectFailed,
        Self::ConnectionRefused,
        Self::HandshakeMalformed,
        Self::HandshakeVersion,
        Self::HandshakeUnauthentic,
        Self::HandshakeTimeout,
        Self::CallReceived,
        Self::CallMalformed,
        Self::CallRefused,
        Self::CallNotSent,
        Self::CallLost,
        Self::ReportDropped,
        Self::DatagramSent,
        Self::DatagramReceived,
        Self::DatagramMalformed,
        Self::DatagramUnauthentic,
        Self::DatagramBytesSent,
        Self::DatagramBytesReceived,
        Self::LinkBytesSent,
        Self::LinkBytesReceived,
    ];

    /// Returns the name of the counter in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::LinkOpened => "link_opened",
            Self::LinkEnded => "link_ended",
            Self::LinkSilent => "link_silent",
            Self::ConnectFailed => "connect_failed",
            Self::ConnectionRefused => "connection_refused",
            Self::HandshakeMalformed => "handshake_malformed",
            Self::HandshakeVersion => "handshake_version",
            Self::HandshakeUnauthentic => "handshake_unauthentic",
            Self::HandshakeTimeout => "handshake_timeout",
            Self::CallReceived => "call_received",
            Self::CallMalformed => "call_malformed",
            Self::CallRefused => "call_refused",
            Self::CallNotSent => "call_not_sent",
            Self::CallLost => "call_lost",
            Self::ReportDropped => "report_dropped",
            Self::DatagramSent => "datagram_sent",
            Self::DatagramReceived => "datagram_received",
            Self::DatagramMalformed => "datagram_malformed",
            Self::DatagramUnauthentic => "datagram_unauthentic",
            Self::DatagramBytesSent => "datagram_bytes_sent",
            Self::DatagramBytesReceived => "datagram_bytes_received",
            Self::LinkBytesSent => "link_bytes_sent",
            Self::LinkBytesReceived => "link_bytes_received",
        }
    }
}

/// Counters of a client, a server or a socket, zero at its start.
#[derive(Debug, Default)]
pub struct Counters([atomic::AtomicU64; Count::ALL.len()]);

impl Counters {
    pub(crate) fn add(&self, count: Count) {
        self.add_many(count, 1);
    }

    pub(crate) fn add_many(&self, count: Count, number: usize) {
        self.0[count as usize].fetch_add(number as u64, atomic::Ordering::Relaxed);
    }

    /// Returns the current value of a counter.
    pub fn get(&self, count: Count) -> u64 {
        self.0[count as usize].load(atomic::Ordering::Relaxed)
    }
}
