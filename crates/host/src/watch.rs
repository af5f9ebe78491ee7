use core::time;

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::permit;
use crate::record;
use crate::relay;

/// What an attempt reports before it ends.
pub(crate) enum Sign {
    /// No data has arrived from this endpoint for the stall time-out.
    Silent(String),
    /// Data has arrived, for the first time or after a silence.
    Delivering,
}

/// A sign with the number of the attempt.
pub(crate) type Signs = mpsc::UnboundedSender<(u16, Sign)>;

/// Reads the answer of one attempt and reports whether data arrives.
///
/// A silent endpoint may go on, so silence alone ends no attempt.
pub(crate) struct Watch {
    stall: time::Duration,
    /// Trace that records the permit once data arrives.
    trace: record::Trace,
    signs: Option<(u16, Signs)>,
    is_delivering: bool,
}

impl Watch {
    pub(crate) const fn new(stall: time::Duration, trace: record::Trace) -> Self {
        Self {
            stall,
            trace,
            signs: None,
            is_delivering: false,
        }
    }

    /// Reports signs under this number.
    pub(crate) fn with_signs(mut self, number: u16, signs: Signs) -> Self {
        self.signs = Some((number, signs));
        self
    }

    /// Reads the next piece of data of an answer; `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub(crate) async fn next(
        &mut self,
        permit: &mut permit::Permit,
        body: &mut back::Body,
    ) -> Result<Option<Bytes>, relay::Error> {
        loop {
            let Ok(read) = tokio::time::timeout(self.stall, relay::next(body)).await else {
                self.record_silence(permit);
                continue;
            };
            if let Ok(Some(_)) = &read {
                self.record_data(permit);
            }
            return read;
        }
    }

    /// Records that the answer has begun or goes on.
    pub(crate) fn record_data(&mut self, permit: &mut permit::Permit) {
        permit.trace(&self.trace);
        permit.set_silent(false);
        if !core::mem::replace(&mut self.is_delivering, true) {
            self.send(Sign::Delivering);
        }
    }

    fn record_silence(&mut self, permit: &mut permit::Permit) {
        permit.set_silent(true);
        self.is_delivering = false;
        self.send(Sign::Silent(permit.grant().name.clone()));
    }

    fn send(&self, sign: Sign) {
        if let Some((number, signs)) = &self.signs {
            // A flow that has ended needs no signs.
            drop(signs.send((*number, sign)));
        }
    }
}
