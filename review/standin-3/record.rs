//! What was sent, answered and run, one line each with the time since the start.

use std::fs;
use std::io::{self, Write};
use std::path;
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

static RECORD: OnceLock<(Instant, Mutex<fs::File>)> = OnceLock::new();

/// Begins `record.txt` in this folder.
pub fn open(folder: &str) -> io::Result<()> {
    let file = fs::File::create(path::Path::new(folder).join("record.txt"))?;
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
    Ok(())
}

/// Returns the time since the start of the scenario.
pub fn now() -> Duration {
    RECORD
        .get()
        .map_or(Duration::ZERO, |(start, _)| start.elapsed())
}

/// Writes a line.
pub fn line(text: &str) {
    let Some((start, file)) = RECORD.get() else {
        return;
    };
    let mut file = file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let ms = start.elapsed().as_millis();
    let _ = writeln!(file, "{ms:>7} ms  {text}");
}
