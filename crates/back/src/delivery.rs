//! Whether what was written to a connection has arrived.

use std::os::fd;

use nix::sys::socket;
use nix::sys::socket::sockopt;

/// Leading part of `struct tcp_info` (linux/tcp.h), which Linux has since 4.6.
#[derive(Clone, Copy, Debug)]
#[repr(C)]
struct State {
    bytes: [u8; 8],
    words: [u32; 24],
    totals: [u64; 4],
    segments: [u32; 2],
    /// Bytes that were not sent, `tcpi_notsent_bytes`.
    unsent: u32,
    round_trip_min: u32,
}

impl State {
    /// Returns the number of segments without an acknowledgement, `tcpi_unacked`.
    const fn unacknowledged(&self) -> u32 {
        self.words[4]
    }
}

/// The option that reads [`State`].
#[derive(Clone, Copy, Debug)]
struct Info;

// The macro reads the option into a `State`, for which all values of its bytes are valid.
nix::getsockopt_impl!(
    Info,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    State,
    sockopt::GetStruct<State>
);

/// Returns whether the system of the receiver has acknowledged all bytes that were written
/// to a connection, or this system does not tell.
///
/// # Panics
///
/// Panics on Linux before 4.6, which tells less.
pub(crate) fn is_complete(stream: &impl fd::AsFd) -> bool {
    socket::getsockopt(stream, Info).map_or(true, |state| {
        state.unsent == 0 && state.unacknowledged() == 0
    })
}
