use core::time;
use std::io;
use std::io::IsTerminal;

/// Time after which a person at a terminal is told what goes on.
const PATIENCE: time::Duration = time::Duration::from_secs(2);

/// Runs `work`; if it takes longer than two seconds, says so once on standard
/// error if that is a terminal.
pub(crate) async fn show<T>(label: &str, work: impl Future<Output = T>) -> T {
    let mut work = core::pin::pin!(work);
    tokio::select! {
        outcome = work.as_mut() => return outcome,
        () = tokio::time::sleep(PATIENCE) => {}
    }
    if io::stderr().is_terminal() {
        eprintln!("carobbay: {label}");
    }
    work.await
}
