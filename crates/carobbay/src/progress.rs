use core::time;
use std::io;
use std::io::IsTerminal;

/// Time after which a message about the running operation is printed.
const MESSAGE_DELAY: time::Duration = time::Duration::from_secs(2);

/// Runs `work`. If it takes longer than two seconds and standard error is a terminal,
/// prints `label` there once.
pub(crate) async fn show<T>(label: &str, work: impl Future<Output = T>) -> T {
    let mut work = core::pin::pin!(work);
    tokio::select! {
        outcome = work.as_mut() => return outcome,
        () = tokio::time::sleep(MESSAGE_DELAY) => {}
    }
    if io::stderr().is_terminal() {
        eprintln!("carobbay: {label}");
    }
    work.await
}
