//! Sending of reports and decoding of answers on a connection.

use futures_util::future;
use wire::Message;
use wire::peer_capnp::session;

use super::report;
use crate::cause;
use crate::error;

/// Sends a report and returns a future of its acknowledgement.
pub fn send_report(
    session: &session::Client,
    report: &report::Report,
) -> Result<future::LocalBoxFuture<'static, capnp::Result<()>>, wire::Error> {
    match report {
        report::Report::Cancel(id) => {
            let mut request = session.cancel_request();
            request.get().set_id(*id);
            let sent = request.send().promise;
            Ok(Box::pin(async move { sent.await.map(drop) }))
        }
        report::Report::FirstOutput(id) => {
            let mut request = session.first_request();
            request.get().set_id(*id);
            let sent = request.send().promise;
            Ok(Box::pin(async move { sent.await.map(drop) }))
        }
        report::Report::Done(done) => {
            let mut request = session.done_request();
            done.write(request.get().init_done())?;
            let sent = request.send().promise;
            Ok(Box::pin(async move { sent.await.map(drop) }))
        }
        report::Report::Crash(crash) => {
            let mut request = session.blame_request();
            crash.write(request.get().init_blame())?;
            let sent = request.send().promise;
            Ok(Box::pin(async move { sent.await.map(drop) }))
        }
        report::Report::Leave => {
            let sent = session.leave_request().send().promise;
            Ok(Box::pin(async move { sent.await.map(drop) }))
        }
    }
}

/// Decodes an answer.
pub fn decode<M: Message>(
    reader: capnp::Result<<M::Owned as capnp::traits::Owned>::Reader<'_>>,
) -> Result<M, error::Error> {
    reader
        .map_err(wire::Error::from)
        .and_then(M::read)
        .map_err(|error| error::Error::Lost(cause::Cause::Decode(error)))
}

/// Converts the RPC error of a call that was sent.
pub fn call_error(error: capnp::Error) -> error::Error {
    let cause = match error.kind {
        capnp::ErrorKind::Disconnected => cause::Cause::Closed,
        _ => cause::Cause::Failed,
    };
    error::Error::Lost(cause)
}

/// Returns whether a call failed because the connection ended.
pub fn is_disconnected(result: &capnp::Result<()>) -> bool {
    matches!(result, Err(error) if error.kind == capnp::ErrorKind::Disconnected)
}

/// Returns whether the other host answered, be it with an error.
pub fn is_answered<T>(result: &Result<T, error::Error>) -> bool {
    !matches!(result, Err(error) if error.cause() == cause::Cause::Closed)
}
