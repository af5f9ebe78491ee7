use core::time;

use crate::resend;

/// When crash reports are published: at once and twice again. Reports of other
/// hosts never displace those of this host: hosts publish only what they have
/// detected.
pub(crate) const SCHEDULE: resend::Schedule = resend::Schedule {
    delays: &[
        time::Duration::ZERO,
        time::Duration::from_millis(400),
        time::Duration::from_millis(1_600),
    ],
    // As many as fit into a datagram.
    batch_max: 50,
    waiting_max: 1_024,
};
