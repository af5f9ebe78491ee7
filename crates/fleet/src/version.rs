use std::collections;

/// Maximum number of rejections kept for the status report; the lowest revision
/// is dropped first.
const REJECTIONS_MAX: usize = 16;

/// Result of offering a configuration.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// It has been put in force.
    InForce,
    /// Its revision is lower than the one in force.
    Old,
    /// It was in force already.
    Same,
    /// Its revision is in force with other content, so it is rejected.
    Conflict,
    /// Its content did not pass the check, so it is rejected.
    Refused,
}

/// A configuration that was not put in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rejection {
    /// Revision of the configuration.
    pub revision: u64,
    /// SHA-256 of its content.
    pub content: [u8; 32],
    /// Reason for the rejection, for operators.
    pub reason: String,
}

/// The configuration in force.
///
/// Its revision never decreases, and its content never changes under one revision.
#[derive(Clone, Debug, Default)]
pub struct Version {
    in_force: Option<(u64, [u8; 32])>,
    highest_seen: u64,
    rejected: collections::BTreeMap<(u64, [u8; 32]), String>,
}

impl Version {
    /// Returns a version without a configuration in force.
    pub fn new() -> Self {
        Self::default()
    }

    /// Offers a configuration and puts it in force if it is newer and valid.
    ///
    /// `content` is the SHA-256 of the files. `verdict` is the result of the
    /// check, which must be deterministic so that all hosts decide the same.
    pub fn offer(
        &mut self,
        revision: u64,
        content: [u8; 32],
        verdict: Result<(), String>,
    ) -> Outcome {
        self.observe(revision);
        if let Some((current, known)) = self.in_force {
            if revision < current {
                return Outcome::Old;
            }
            if revision == current && content == known {
                return Outcome::Same;
            }
            if revision == current {
                let reason = "other content is in force under this revision";
                self.reject(revision, content, reason.to_owned());
                return Outcome::Conflict;
            }
        }
        if let Err(reason) = verdict {
            self.reject(revision, content, reason);
            return Outcome::Refused;
        }
        self.in_force = Some((revision, content));
        Outcome::InForce
    }

    /// Records a revision that a digest or the platform mentions.
    pub fn observe(&mut self, revision: u64) {
        self.highest_seen = self.highest_seen.max(revision);
    }

    /// Returns the revision in force and the SHA-256 of its content.
    pub fn in_force(&self) -> Option<(u64, [u8; 32])> {
        self.in_force
    }

    /// Returns the highest revision seen, in force or not; 0 if there was none.
    pub fn highest_seen(&self) -> u64 {
        self.highest_seen
    }

    /// Returns whether this content was rejected under this revision, among the
    /// rejections that are kept.
    pub fn is_rejected(&self, revision: u64, content: [u8; 32]) -> bool {
        self.rejected.contains_key(&(revision, content))
    }

    /// Returns the rejections that are kept, lowest revision first.
    pub fn rejections(&self) -> impl Iterator<Item = Rejection> {
        self.rejected
            .iter()
            .map(|(&(revision, content), reason)| Rejection {
                revision,
                content,
                reason: reason.clone(),
            })
    }

    fn reject(&mut self, revision: u64, content: [u8; 32], reason: String) {
        self.rejected.insert((revision, content), reason);
        if self.rejected.len() > REJECTIONS_MAX {
            self.rejected.pop_first();
        }
    }
}
