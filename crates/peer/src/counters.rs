use std::sync::atomic;

/// What the transport counts.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Count {
    /// Links opened, with a complete handshake.
    LinkOpened,
    /// Links ended for any reason.
    LinkEnded,
    /// Links ended because the other host was silent.
    LinkSilent,
    /// Connections that could not be made or timed out.
    ConnectFailed,
    /// Connections refused because too many handshakes or links were open.
    ConnectionRefused,
    /// Handshakes with a malformed or oversized frame.
    HandshakeMalformed,
    /// Handshakes with another protocol version.
    HandshakeVersion,
    /// Handshakes without a common key or with a wrong proof.
    HandshakeUnauthentic,
    /// Handshakes that were not complete in time or broke off.
    HandshakeTimeout,
    /// Calls received.
    CallReceived,
    /// Calls received with a malformed message.
    CallMalformed,
    /// Calls received above the bound of the link.
    CallRefused,
    /// Calls that ended with `Error::NotSent`.
    CallNotSent,
    /// Calls that ended with `Error::Lost`.
    CallLost,
    /// Reports that were given up because the other host stayed away.
    ReportDropped,
    /// Datagrams sent.
    DatagramSent,
    /// Datagrams received and accepted.
    DatagramReceived,
    /// Datagrams dropped as malformed, oversized or of another version.
    DatagramMalformed,
    /// Datagrams dropped for an unknown key or a wrong HMAC.
    DatagramUnauthentic,
}

impl Count {
    /// Lists everything that is counted, in the order of the variants.
    pub const ALL: [Self; 19] = [
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
    ];

    /// Returns the name used in metrics.
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
        }
    }
}

/// Counters of one part of the transport.
#[derive(Debug, Default)]
pub struct Counters([atomic::AtomicU64; Count::ALL.len()]);

impl Counters {
    /// Adds one.
    pub(crate) fn add(&self, count: Count) {
        self.0[count as usize].fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Returns a counter.
    pub fn get(&self, count: Count) -> u64 {
        self.0[count as usize].load(atomic::Ordering::Relaxed)
    }
}
