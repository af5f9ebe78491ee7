use std::collections;

/// Refused revisions kept for the report; the lowest is dropped first.
const REFUSED_MAX: usize = 16;

/// What became of an offered configuration.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// It is in force now.
    InForce,
    /// Its revision is lower than the one in force.
    Old,
    /// It is in force already.
    Same,
    /// Its revision is in force with other content.
    Conflict,
    /// Its content did not pass the check.
    Refused,
}

/// A configuration that was not put in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rejection {
    /// Its revision.
    pub revision: u64,
    /// SHA-256 of its content.
    pub content: [u8; 32],
    /// Why it was refused.
    pub reason: String,
}

/// The configuration in force: its revision never falls and its content never
/// changes under one revision.
#[derive(Clone, Debug, Default)]
pub struct Version {
    in_force: Option<(u64, [u8; 32])>,
    highest: u64,
    refused: collections::BTreeMap<(u64, [u8; 32]), String>,
}

impl Version {
    /// Returns a version without a configuration in force.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a configuration with the verdict of the deterministic check.
    ///
    /// `content` is the SHA-256 of the files.
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
                self.refuse(revision, content, reason.to_owned());
                return Outcome::Conflict;
            }
        }
        if let Err(reason) = verdict {
            self.refuse(revision, content, reason);
            return Outcome::Refused;
        }
        self.in_force = Some((revision, content));
        Outcome::InForce
    }

    /// Notes a revision that a digest or the platform mentions.
    pub fn observe(&mut self, revision: u64) {
        self.highest = self.highest.max(revision);
    }

    /// Returns the revision in force and the SHA-256 of its content.
    pub fn in_force(&self) -> Option<(u64, [u8; 32])> {
        self.in_force
    }

    /// Returns the highest revision seen, in force or not; 0 without any.
    pub fn highest_seen(&self) -> u64 {
        self.highest
    }

    /// Returns whether this content was refused under this revision.
    pub fn is_rejected(&self, revision: u64, content: [u8; 32]) -> bool {
        self.refused.contains_key(&(revision, content))
    }

    /// Lists what was refused, lowest revision first.
    pub fn rejections(&self) -> impl Iterator<Item = Rejection> {
        self.refused
            .iter()
            .map(|(&(revision, content), reason)| Rejection {
                revision,
                content,
                reason: reason.clone(),
            })
    }

    fn refuse(&mut self, revision: u64, content: [u8; 32], reason: String) {
        self.refused.insert((revision, content), reason);
        if self.refused.len() > REFUSED_MAX {
            self.refused.pop_first();
        }
    }
}
