use core::time;
use std::collections;

/// Time for which the build of a stream is kept. No caller resumes a stream later.
const KEEP_TIME: time::Duration = time::Duration::from_secs(120);

/// Most streams whose build is kept.
const STREAMS_MAX: usize = 100_000;

/// Builds at which streams began, by the hash of the request that began them.
#[derive(Debug, Default)]
pub(crate) struct Origins(collections::HashMap<u64, (plan::Build, time::Duration)>);

impl Origins {
    /// Records the build of a stream. Returns `false` if there is no room for it.
    pub(crate) fn insert(&mut self, now: time::Duration, origin: u64, build: plan::Build) -> bool {
        if self.0.len() >= STREAMS_MAX && !self.0.contains_key(&origin) {
            return false;
        }
        self.0.insert(origin, (build, now));
        true
    }

    /// Returns the build of a stream.
    pub(crate) fn find(&self, origin: u64) -> Option<plan::Build> {
        self.0.get(&origin).map(|(build, _)| *build)
    }

    /// Removes the streams that were recorded too long ago.
    pub(crate) fn evict_expired(&mut self, now: time::Duration) {
        self.0.retain(|_, (_, at)| *at + KEEP_TIME >= now);
    }
}
