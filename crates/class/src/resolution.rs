use core::time;
use std::sync;

use crate::reason;
use crate::source;
use crate::team;

/// Caller of a request and the terms on which the request is served.
#[derive(Clone, Debug, PartialEq)]
pub struct Resolution {
    /// Name of the class.
    pub class: sync::Arc<str>,
    /// Position of the class in [`crate::Table::class_names`], which is sorted.
    pub class_index: u16,
    /// Priority tier; 0 is the highest.
    pub tier: u8,
    /// Target for the time to the first token or, for services, to the response.
    pub target_first: time::Duration,
    /// Target for the time between tokens; `None` if the class sets none.
    pub target_gap: Option<time::Duration>,
    /// Time from the resolution after which the response is of no use.
    pub deadline: time::Duration,
    /// Name of the team; `anonymous` for callers without a bearer key.
    pub team: sync::Arc<str>,
    /// Key of the team; 0 for callers without a bearer key.
    pub team_key: u32,
    /// Hash that identifies the caller: of its bearer key or, without one, of its
    /// address prefix.
    pub caller: u64,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    pub(crate) pool: String,
    pub(crate) choice: Choice,
}

/// Records which of several sources decided each property.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Choice {
    /// The pool rather than the team set the class.
    pub class_by_pool: bool,
    /// The pool rather than the class set whether the request is idempotent.
    pub idempotent_by_pool: bool,
    /// The request withdrew the permission to run more than once.
    pub idempotent_by_request: bool,
    /// The request rather than the class set the deadline.
    pub deadline_by_request: bool,
}

impl Resolution {
    /// Explains the team, the class and the properties that follow from it.
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
                source: self.class_setting("tier"),
            },
            reason::Reason {
                property: "target_first",
                value: format!("{:?}", self.target_first),
                source: self.class_setting("target_first"),
            },
            reason::Reason {
                property: "deadline",
                value: format!("{:?}", self.deadline),
                source: match self.choice.deadline_by_request {
                    true => source::Source::Request("deadline"),
                    false => self.class_setting("deadline"),
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
            (false, false) => self.class_setting("idempotent"),
        }
    }

    fn class_setting(&self, key: &str) -> source::Source {
        setting("class", &self.class, key)
    }
}

fn setting(section: &str, name: &str, key: &str) -> source::Source {
    source::Source::Setting(conf::Entry::new(section, name, key))
}
