/// Routing between callers and endpoints in a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// Router hosts with the current policy.
    Current,
    /// Router hosts with first-come, first-served queues and round robin.
    Baseline,
    /// No router: callers use the endpoints in round-robin order.
    Direct,
}

impl Policy {
    /// Returns the policy of the router hosts, or `None` without a router.
    pub const fn host_policy(self) -> Option<host::Policy> {
        match self {
            Self::Current => Some(host::Policy::Current),
            Self::Baseline => Some(host::Policy::Baseline),
            Self::Direct => None,
        }
    }

    /// Returns the name of the policy in the output.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Current => "current",
            Self::Baseline => "baseline",
            Self::Direct => "direct",
        }
    }
}
