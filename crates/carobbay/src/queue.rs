use std::io::Write as _;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

/// Maximum number of queued lines; further ones are dropped.
const LINES_MAX: usize = 8_192;

/// Pause between two writes, so that several lines are written together.
const WRITE_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Queue of log lines that a thread writes to standard output.
///
/// Pushing never blocks: if the reader of standard output is slow or blocked, lines
/// are dropped and counted, and the count is written as a line once the reader
/// continues.
#[derive(Clone, Debug)]
pub(crate) struct Queue {
    sender: mpsc::SyncSender<String>,
    dropped: sync::Arc<atomic::AtomicU64>,
}

impl Queue {
    /// Creates the queue and starts the thread that writes its lines.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub(crate) fn start() -> std::io::Result<Self> {
        let (sender, receiver) = mpsc::sync_channel(LINES_MAX);
        let dropped = sync::Arc::new(atomic::AtomicU64::new(0));
        let counter = dropped.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 * 1024)
            .spawn(move || write(&receiver, &counter))?;
        Ok(Self { sender, dropped })
    }

    /// Adds a line, or drops and counts it if the queue is full.
    pub(crate) fn push(&self, line: String) {
        if self.sender.try_send(line).is_err() {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }

    /// Waits long enough for the thread to write the queued lines before the process
    /// ends. Does not check that they were written.
    pub(crate) fn wait_for_writer() {
        thread::sleep(WRITE_PAUSE * 2);
    }
}

fn write(receiver: &mpsc::Receiver<String>, dropped: &atomic::AtomicU64) {
    let mut batch = String::new();
    while let Ok(line) = receiver.recv() {
        batch.clear();
        push(&mut batch, &line);
        while let Ok(line) = receiver.try_recv() {
            push(&mut batch, &line);
        }
        let count = dropped.swap(0, atomic::Ordering::Relaxed);
        if count > 0 {
            push(
                &mut batch,
                &format!(
                    "{{\"level\":\"WARN\",\"part\":\"log\",\"message\":\"{count} lines dropped\"}}"
                ),
            );
        }
        // There is no other output on which a failed write could be reported.
        let _ = std::io::stdout().write_all(batch.as_bytes());
        thread::sleep(WRITE_PAUSE);
    }
}

fn push(batch: &mut String, line: &str) {
    batch.push_str(line);
    batch.push('\n');
}
