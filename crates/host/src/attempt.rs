use core::future;
use core::pin;
use core::task;

use crate::reading;

/// End of an attempt.
pub(crate) struct Ended {
    /// Endpoint that was granted; absent if the ask was refused.
    pub(crate) endpoint: Option<String>,
    pub(crate) outcome: Result<front::Response, reading::Failure>,
}

/// An attempt that has not ended, from its ask on. Dropping it cancels it.
pub(crate) struct Attempt<'a> {
    /// Identifies the attempt within its flow.
    pub(crate) number: u16,
    /// The endpoint, if it is silent.
    pub(crate) silent: Option<String>,
    exchange: pin::Pin<Box<dyn Future<Output = Ended> + Send + 'a>>,
}

impl<'a> Attempt<'a> {
    pub(crate) fn new(number: u16, exchange: impl Future<Output = Ended> + Send + 'a) -> Self {
        Self {
            number,
            silent: None,
            exchange: Box::pin(exchange),
        }
    }
}

/// Waits until one of the attempts ends and removes it from the list.
///
/// It never returns if the list is empty. Cancelling it loses nothing.
pub(crate) async fn next_ended<'a>(open: &mut Vec<Attempt<'a>>) -> (Attempt<'a>, Box<Ended>) {
    let (index, ended) = future::poll_fn(|context| {
        for (index, attempt) in open.iter_mut().enumerate() {
            if let task::Poll::Ready(ended) = attempt.exchange.as_mut().poll(context) {
                return task::Poll::Ready((index, ended));
            }
        }
        task::Poll::Pending
    })
    .await;
    (open.remove(index), Box::new(ended))
}
