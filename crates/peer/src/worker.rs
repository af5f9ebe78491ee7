use futures_util::future;
use std::io;
use std::thread;
use tokio::runtime;
use tokio::sync::mpsc;
use tokio::task;

type Job = Box<dyn FnOnce() -> future::LocalBoxFuture<'static, ()> + Send>;

/// Thread that runs futures which cannot move between threads.
///
/// The thread ends and drops its tasks when the last clone is dropped.
#[derive(Clone)]
pub struct Worker(mpsc::UnboundedSender<Job>);

impl Worker {
    /// Starts the thread with this name.
    ///
    /// # Errors
    ///
    /// Fails if the runtime or the thread cannot be started.
    pub fn start(name: &str) -> io::Result<Self> {
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (sender, mut jobs) = mpsc::unbounded_channel::<Job>();
        thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                let tasks = task::LocalSet::new();
                tasks.block_on(&runtime, async move {
                    while let Some(job) = jobs.recv().await {
                        task::spawn_local(job());
                    }
                });
            })?;
        Ok(Self(sender))
    }

    /// Creates a future on the thread and runs it there.
    pub fn spawn<F, T>(&self, job: F)
    where
        F: FnOnce() -> T + Send + 'static,
        T: Future<Output = ()> + 'static,
    {
        // The thread receives until every sender is dropped, so this cannot fail.
        let _ = self.0.send(Box::new(move || Box::pin(job())));
    }
}
