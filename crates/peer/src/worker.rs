use futures_util::future;
use std::io;
use std::thread;
use tokio::runtime;
use tokio::sync::mpsc;
use tokio::task;

type Job = Box<dyn FnOnce() -> future::LocalBoxFuture<'static, ()> + Send>;

/// A thread for tasks that are bound to their thread.
///
/// The thread ends, and its tasks are dropped, when the last clone is dropped.
#[derive(Clone)]
pub struct Worker(mpsc::UnboundedSender<Job>);

impl Worker {
    /// Starts a thread.
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

    /// Runs a task on the thread.
    pub fn spawn<F, T>(&self, job: F)
    where
        F: FnOnce() -> T + Send + 'static,
        T: Future<Output = ()> + 'static,
    {
        // The thread outlives every clone of the sender.
        let _ = self.0.send(Box::new(move || Box::pin(job())));
    }
}
