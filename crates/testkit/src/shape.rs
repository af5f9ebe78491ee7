//! The loads and the shapes of the deployments in [`crate::engines`].

use crate::batch;
pub use crate::batch::Spec;

/// Name of the service of all engines.
pub(crate) const SERVICE: &str = "models";

/// What callers of one kind need.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Requests per second at all hosts.
    pub per_s: f64,
    /// Events of an answer.
    pub events: u32,
    /// Target for the first event in milliseconds.
    pub target_ms: u64,
    /// Bound of the gaps between events in milliseconds.
    pub gap_ms: u64,
    /// Deadline in milliseconds.
    pub deadline_ms: u64,
    /// Endpoints that may run the request.
    pub attempts: u32,
}

/// What happens from `Options::from_ms` on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Crest {
    /// The usual load.
    Usual,
    /// 2.5 times the long prompts for 9 s.
    Long,
    /// 2.5 times the short prompts for 5 s.
    Short,
    /// A quarter of the engines is lost for 2 s, at 1.6 times the long prompts for 5 s.
    Lost,
    /// The largest team sends seven times as much for 9 s.
    Team,
    /// A third of the long prompts has the same shared parts for 9 s, at 1.6 times the
    /// usual number.
    Part,
}

impl Crest {
    pub(crate) const fn length_ms(self) -> u64 {
        match self {
            Self::Short | Self::Lost => 5_000,
            Self::Usual | Self::Long | Self::Team | Self::Part => 9_000,
        }
    }

    pub(crate) const fn factors(self) -> [f64; 2] {
        match self {
            Self::Usual => [1.0, 1.0],
            Self::Long => [2.5, 1.0],
            Self::Short => [1.0, 2.5],
            Self::Lost | Self::Part => [1.6, 1.0],
            // The largest team sends a fifth of the requests.
            Self::Team => [2.22, 2.22],
        }
    }
}

/// A play.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of data centres, over which hosts and engines are spread evenly.
    pub data_centres: usize,
    /// Number of engines.
    pub engines: usize,
    /// Properties of the engines.
    pub spec: Spec,
    /// Speed of a quarter of the engines, and of the others.
    pub speeds: (f64, f64),
    /// Long and short prompts.
    pub kinds: [Kind; 2],
    /// What happens.
    pub crest: Crest,
    /// When it happens, in milliseconds; the caches are cold at the start.
    pub from_ms: u64,
    /// Bytes of a KV cache token in the configuration; 0 if it states none.
    pub kv_token_bytes: u64,
    /// Share of the messages between hosts that are lost.
    pub loss: f64,
    /// Seed of all that happens at random.
    pub seed: u64,
}

impl Options {
    /// Returns 128 hosts before 60 engines of 48 slots.
    pub const fn cascadia(crest: Crest, from_ms: u64) -> Self {
        Self {
            hosts: 128,
            data_centres: 3,
            engines: 60,
            spec: spec(48, 286_236, 5.05, 40.8, 6),
            speeds: (1.0, 1.0),
            kinds: [kind(119.0, 9, 600, 300), kind(180.0, 49, 250, 200)],
            crest,
            from_ms,
            kv_token_bytes: 0,
            loss: 0.01,
            seed: 1,
        }
    }

    /// Returns 83 hosts before 112 engines of 12 slots, a quarter of which is slow.
    pub const fn derwent(crest: Crest, from_ms: u64) -> Self {
        Self {
            hosts: 83,
            engines: 112,
            spec: spec(12, 277_241, 5.55, 42.6, 5),
            speeds: (0.55, 1.2),
            kinds: [kind(199.0, 10, 600, 400), kind(115.0, 58, 300, 250)],
            ..Self::cascadia(crest, from_ms)
        }
    }

    pub(crate) fn engine(&self, index: usize) -> batch::Engine {
        let speed = match index % 4 {
            0 => self.speeds.0,
            _ => self.speeds.1,
        };
        batch::Engine::new(self.spec, speed)
    }

    pub(crate) fn host(&self, index: usize) -> steer::Balancer {
        let mut balancer = steer::Balancer::new(steer::Options {
            data_centre: format!("dc{}", index % self.data_centres),
            ..steer::Options::default()
        });
        let list: Vec<plan::Endpoint> = (0..self.engines)
            .map(|index| plan::Endpoint {
                id: format!("e{index}"),
                service: SERVICE.into(),
                // CAST: There are fewer engines than ports.
                address: ([127, 0, 0, 1], 1_000 + index as u16).into(),
                data_centre: format!("dc{}", index % self.data_centres),
                // CAST: An engine has few slots.
                slots: self.spec.slots as u32,
                phase: plan::Phase::Up,
                started_ms: 1,
                build: None,
            })
            .collect();
        balancer.replace(&list);
        balancer.set_hosts(self.hosts);
        balancer.set_services(&[plan::Service {
            name: SERVICE.into(),
            health_path: "/health".into(),
            connections_max: 700,
            engine: Some(plan::Engine {
                kv_capacity_tokens: self.spec.kv_tokens.into(),
                kv_token_bytes: self.kv_token_bytes,
                ..plan::Engine::default()
            }),
            cold: None,
        }]);
        balancer
    }
}

const fn spec(slots: usize, kv_tokens: u32, step_ms: f64, tokens_per_ms: f64, stride: u32) -> Spec {
    Spec {
        slots,
        kv_tokens,
        step_ms,
        tokens_per_ms,
        chunk: 1_024,
        stride,
    }
}

const fn kind(per_s: f64, events: u32, target_ms: u64, gap_ms: u64) -> Kind {
    let is_long = target_ms >= 600;
    Kind {
        per_s,
        events,
        target_ms,
        gap_ms,
        deadline_ms: if is_long { 5_000 } else { 15_000 },
        attempts: if is_long { 2 } else { 1 },
    }
}

/// How the requests of one kind ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Requests that arrived.
    pub asked: usize,
    /// Whole answers with the first event within its target and all gaps within the bound.
    pub in_target: usize,
    /// Other whole answers.
    pub late: usize,
    /// Requests that were refused twice.
    pub refused: usize,
    /// Requests without a whole answer by their deadline.
    pub failed: usize,
}

/// What happened to the requests that arrived from `Options::from_ms` on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Long and short prompts.
    pub kinds: [Tally; 2],
    /// Those of them of all teams but the largest.
    pub others: [Tally; 2],
    /// Prompt tokens read in the whole play.
    pub read_tokens: u64,
    /// Tokens of shared parts that were read again.
    pub again_tokens: u64,
    /// Tokens read by the busiest engine, by the mean.
    pub busiest: f64,
}
