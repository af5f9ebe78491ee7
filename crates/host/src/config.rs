use core::time;
use std::collections;
use std::sync;

use sha2::Digest;

use crate::keyed;
use crate::state;
use crate::view;
use base::clock;
use base::mutex;

/// Name and text of each file of a configuration.
type Texts = collections::BTreeMap<String, String>;

/// The configuration files in force at this host.
///
/// New revisions come from the platform or from other hosts. A revision comes
/// into force only if it is newer and its files are valid.
pub(crate) struct Store {
    state: sync::Arc<state::State>,
    view: sync::Arc<view::View>,
    clock: clock::Clock,
    /// Settings of this host, which every revision keeps.
    own: conf::settings::Host,
    inner: sync::Mutex<Inner>,
}

struct Inner {
    version: fleet::Version,
    texts: Texts,
    poller: fleet::Poller,
    /// Time of the last answer of the platform; `None` before the first one.
    platform_at: Option<time::Duration>,
}

impl Store {
    pub(crate) fn new(
        state: sync::Arc<state::State>,
        view: sync::Arc<view::View>,
        clock: clock::Clock,
        own: conf::settings::Host,
        seed: u64,
    ) -> Self {
        let inner = Inner {
            version: fleet::Version::default(),
            texts: Texts::new(),
            poller: fleet::Poller::new(seed),
            platform_at: None,
        };
        Self {
            state,
            view,
            clock,
            own,
            inner: sync::Mutex::new(inner),
        }
    }

    /// Returns the difference between the files of another host and those in
    /// force here.
    pub(crate) fn files_for(&self, fetch: &wire::Fetch) -> wire::Files {
        let inner = self.lock();
        let known: collections::HashMap<&str, &[u8; 32]> = fetch
            .known
            .iter()
            .map(|(name, hash)| (name.as_str(), hash))
            .collect();
        let changed = inner
            .texts
            .iter()
            .filter(|(name, text)| known.get(name.as_str()) != Some(&&hash(text)))
            .map(|(name, text)| (name.clone(), text.clone()))
            .collect();
        let removed = known
            .keys()
            .filter(|name| !inner.texts.contains_key(**name))
            .map(|name| (*name).to_owned())
            .collect();
        let (revision, content) = inner.version.in_force().unwrap_or_default();
        wire::Files {
            revision,
            content,
            changed,
            removed,
        }
    }

    /// Returns the names and hashes of the files in force, for a fetch from another
    /// host.
    pub(crate) fn fetch_request(&self) -> wire::Fetch {
        let known = self
            .lock()
            .texts
            .iter()
            .map(|(name, text)| (name.clone(), hash(text)))
            .collect();
        wire::Fetch { known }
    }

    /// Applies the difference that another host sent and offers the result.
    pub(crate) fn apply_files(&self, keyed: &keyed::Runner, files: wire::Files) {
        let mut texts = self.lock().texts.clone();
        for name in &files.removed {
            texts.remove(name);
        }
        texts.extend(files.changed);
        self.offer(keyed, files.revision, texts);
    }

    /// Puts a revision in force if it is newer and its files are valid.
    ///
    /// A rejected revision is logged and stored for the administration API.
    pub(crate) fn offer(&self, keyed: &keyed::Runner, revision: u64, texts: Texts) {
        let files: Vec<conf::File> = texts
            .iter()
            .map(|(name, text)| conf::File::new(name, text))
            .collect();
        let content = content(&texts);
        {
            let inner = self.lock();
            let known = inner.version.in_force();
            // Different content under the same revision is checked further, so
            // that it is reported.
            if known.is_some_and(|known| known.0 > revision || known == (revision, content)) {
                return;
            }
        }
        let checked = conf::load(&files);
        let verdict = match &checked {
            Ok(_) => Ok(()),
            Err(problems) => Err(problems
                .first()
                .map_or_else(String::new, ToString::to_string)),
        };
        let mut inner = self.lock();
        let outcome = inner.version.offer(revision, content, verdict);
        if outcome != fleet::Outcome::InForce {
            log::warn!(
                target: "host",
                "configuration revision {revision} is not applied: {outcome:?}"
            );
            return;
        }
        inner.texts = texts;
        inner.poller.set_configured();
        if let Ok(configuration) = checked {
            self.state.set_sources(&configuration);
            let mut settings = configuration.settings;
            settings.host = self.own.clone();
            let settings = sync::Arc::new(settings);
            // The lock is held so that two revisions that arrive at the same time
            // come into force in order.
            self.state.replace(settings.clone());
            keyed.replace(settings);
        }
        self.view
            .with(|membership| membership.set_version(revision, content));
        log::info!(target: "host", "configuration revision {revision} is in force");
    }

    /// Returns how to obtain the next revision.
    pub(crate) fn next(&self) -> fleet::Action {
        let now = self.clock.now();
        let (own, live) = self.view.with(|membership| {
            let live: Vec<fleet::Entry> = membership.live().into_iter().cloned().collect();
            (membership.own().clone(), live)
        });
        let live: Vec<&fleet::Entry> = live.iter().collect();
        self.lock().poller.next_action(now, &own, &live)
    }

    /// Records that a digest of another host showed no lower revision than the one
    /// in force here, which delays the next read of the platform.
    pub(crate) fn record_digest(&self) {
        let now = self.clock.now();
        self.lock().poller.record_digest(now);
    }

    /// Records an answer of the platform.
    pub(crate) fn record_platform_answer(&self) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.poller.record_answer(now);
        inner.platform_at = Some(now);
    }

    /// Records a failed call to the platform.
    pub(crate) fn record_platform_failure(&self) {
        let now = self.clock.now();
        self.lock().poller.record_failure(now);
    }

    /// Returns the time of the platform's last answer, from the start of the
    /// process; `None` before the first one.
    pub(crate) fn platform_at(&self) -> Option<time::Duration> {
        self.lock().platform_at
    }

    /// Returns the rejection with the highest revision.
    pub(crate) fn last_rejection(&self) -> Option<fleet::Rejection> {
        self.lock().version.rejections().last()
    }

    /// Returns the revision in force and the SHA-256 digest of its files; zeros if
    /// no revision is in force.
    pub(crate) fn in_force(&self) -> (u64, [u8; 32]) {
        self.lock().version.in_force().unwrap_or_default()
    }

    /// Returns the revision in force; 0 if none is.
    pub(crate) fn revision(&self) -> u64 {
        self.lock().version.in_force().unwrap_or_default().0
    }

    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        mutex::lock(&self.inner)
    }
}

fn hash(text: &str) -> [u8; 32] {
    sha2::Sha256::digest(text.as_bytes()).into()
}

/// Returns the SHA-256 digest of names and texts of all files.
fn content(texts: &Texts) -> [u8; 32] {
    let mut hash = sha2::Sha256::new();
    for (name, text) in texts {
        hash.update((name.len() as u64).to_be_bytes());
        hash.update(name.as_bytes());
        hash.update((text.len() as u64).to_be_bytes());
        hash.update(text.as_bytes());
    }
    hash.finalize().into()
}
