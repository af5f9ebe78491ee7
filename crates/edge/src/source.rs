use core::pin;
use core::task;

use back::event;
use bytes::{Bytes, BytesMut};
use hyper::body::Body;

use crate::incoming;

/// Most bytes of an event, with the comments before it.
const EVENT_MAX_BYTES: usize = 64 * 1024;

/// Result of reading the next events of a run.
pub(crate) enum Read {
    /// Complete events, and the id of the last one that has an id.
    Events(Bytes, Option<u64>),
    End,
    Broken(String),
    /// The body has ended within an event.
    Partial(event::Error),
    /// An event exceeds the bound; its source may never end it.
    Oversized(String),
}

/// The events of one run of a stream.
pub(crate) struct Source {
    pub(crate) answer: incoming::Answer,
    splitter: event::Splitter,
    /// Whether the run goes on with a stream of which the caller has events.
    is_rest: bool,
    /// Whether the answer is no stream of events, such as an error, and declares its end.
    is_text: bool,
    /// Whether the run has delivered an event.
    pub(crate) has_begun: bool,
    /// Whether its silence since the last event was noticed.
    pub(crate) is_silent: bool,
    /// Number of events in the last result of a read.
    pub(crate) events: u32,
}

impl Source {
    /// Returns the events of an answer whose head has arrived. `is_rest` says whether the
    /// caller has earlier events of the stream.
    pub(crate) fn new(answer: incoming::Answer, is_rest: bool) -> Self {
        let is_stream = is_rest || event::is_stream(answer.status, &answer.headers);
        Self {
            is_text: answer.is_framed && !is_stream,
            answer,
            is_rest,
            splitter: event::Splitter::default(),
            has_begun: false,
            is_silent: false,
            events: 0,
        }
    }

    /// Reads the next events. `after` is the id of the last event that the caller
    /// has received.
    pub(crate) fn poll_read(
        &mut self,
        context: &mut task::Context<'_>,
        after: Option<u64>,
    ) -> task::Poll<Read> {
        loop {
            let body = pin::Pin::new(&mut self.answer.body);
            let read = match task::ready!(body.poll_frame(context)) {
                Some(Ok(frame)) => {
                    let Some(data) = frame.data_ref() else {
                        continue;
                    };
                    self.splitter.push(data);
                    match self.take_events(after) {
                        Ok((events, last)) if !events.is_empty() => Read::Events(events, last),
                        Ok(_) if self.splitter.pending() > EVENT_MAX_BYTES => {
                            Read::Oversized(format!("an event exceeds {EVENT_MAX_BYTES} bytes"))
                        }
                        Ok(_) => continue,
                        Err(cause) => Read::Broken(cause),
                    }
                }
                Some(Err(cause)) => Read::Broken(cause.to_string()),
                None => self.read_rest(after),
            };
            return task::Poll::Ready(read);
        }
    }

    /// Returns whether the run has sent a part of the event after its last complete one.
    pub(crate) fn is_within_event(&self) -> bool {
        self.splitter.is_within_event()
    }

    /// Reads what follows the last complete event at the end of the answer.
    fn read_rest(&mut self, after: Option<u64>) -> Read {
        self.events = 0;
        let rest = match self.is_text {
            true => Ok(self.splitter.rest()),
            false => self.splitter.finish(),
        };
        match rest {
            Ok(rest) if rest.is_empty() => Read::End,
            Ok(rest) => Read::Events(rest, after),
            Err(cause) => Read::Partial(cause),
        }
    }

    /// Takes the complete events from the buffer.
    ///
    /// # Errors
    ///
    /// Fails if an id does not increase: the endpoint sent an event that was
    /// passed on before. Fails if the rest of a stream begins with an event without an
    /// id, such as the text of an error.
    fn take_events(&mut self, after: Option<u64>) -> Result<(Bytes, Option<u64>), String> {
        let mut events = BytesMut::new();
        self.events = 0;
        let mut last = after;
        let mut needs_id = self.is_rest && !self.has_begun;
        while let Some(whole) = self.splitter.next_event() {
            let id = event::id(&whole);
            if id.is_none() && needs_id {
                return Err("the rest of the stream begins with no event of it".to_owned());
            }
            needs_id = false;
            if let Some(id) = id {
                if last.is_some_and(|last| id <= last) {
                    return Err(format!(
                        "event {id} comes after event {}",
                        last.unwrap_or(0)
                    ));
                }
                last = Some(id);
            }
            events.extend_from_slice(&whole);
            self.events += 1;
        }
        Ok((events.freeze(), last))
    }
}
