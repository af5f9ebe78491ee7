use core::time;
use std::sync;

use crate::reason;
use crate::source;
use crate::team;

/// Who sends a request and how it is to be served.
#[derive(Clone, Debug, PartialEq)]
pub struct Resolution {
    /// Name of the class.
    pub class: sync::Arc<str>,
    /// Position of the class in the sorted names of classes.
    pub class_index: u16,
    /// Tier; 0 is the highest.
    pub tier: u8,
    /// Target for the time to the first token or, for services, to the answer.
    pub target_first: time::Duration,
    /// Target for the time between tokens.
    pub target_gap: Option<time::Duration>,
    /// Time from now after which the answer is no longer wanted.
    pub deadline: time::Duration,
    /// Name of the team; `anonymous` for callers without a key.
    pub team: sync::Arc<str>,
    /// Key of the team; 0 for callers without a key.
    pub team_key: u32,
    /// Hash of the caller: of its bearer key, or of its address prefix.
    pub caller: u64,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    pub(crate) pool: String,
    pub(crate) choice: Choice,
}

/// Which of several settings decided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Choice {
    /// The pool gave the class.
    pub class_by_pool: bool,
    /// The pool gave the idempotency, before the request.
    pub idempotent_by_pool: bool,
    /// The request made its work non-idempotent.
    pub idempotent_by_request: bool,
    /// The request gave the deadline.
    pub deadline_by_request: bool,
}

impl Resolution {
    /// Explains the class, what follows from it, and who the caller is.
    pub fn reasons(&self) -> Vec<reason::Reason> {
        vec![
            self.team_reason(),
            reason::Reason {
                property: "class",
                value: self.class.to_string(),
                source: self.class_source(),
            },
            reason::Reason {
                property: "tier",
                value: self.tier.to_string(),
                source: self.of_class("tier"),
            },
            reason::Reason {
                property: "target_first",
                value: format!("{:?}", self.target_first),
                source: self.of_class("target_first"),
            },
            reason::Reason {
                property: "deadline",
                value: format!("{:?}", self.deadline),
                source: match self.choice.deadline_by_request {
                    true => source::Source::Request("deadline"),
                    false => self.of_class("deadline"),
                },
            },
            reason::Reason {
                property: "idempotent",
                value: self.is_idempotent.to_string(),
                source: self.idempotent_source(),
            },
        ]
    }

    fn team_reason(&self) -> reason::Reason {
        let source = match self.team_key {
            team::ANONYMOUS_TEAM_KEY => source::Source::Request("missing bearer key"),
            _ => setting("team", &self.team, "key_hash"),
        };
        reason::Reason {
            property: "team",
            value: self.team.to_string(),
            source,
        }
    }

    fn class_source(&self) -> source::Source {
        match (self.choice.class_by_pool, self.team_key) {
            (true, _) => setting("pool", &self.pool, "class"),
            (false, team::ANONYMOUS_TEAM_KEY) => setting("anonymous", "", "class"),
            (false, _) => setting("team", &self.team, "class"),
        }
    }

    fn idempotent_source(&self) -> source::Source {
        match (
            self.choice.idempotent_by_request,
            self.choice.idempotent_by_pool,
        ) {
            (true, _) => source::Source::Request("own statement"),
            (false, true) => setting("pool", &self.pool, "idempotent"),
            (false, false) => self.of_class("idempotent"),
        }
    }

    fn of_class(&self, key: &str) -> source::Source {
        setting("class", &self.class, key)
    }
}

fn setting(section: &str, name: &str, key: &str) -> source::Source {
    source::Source::Setting(conf::Place::new(section, name, key))
}
