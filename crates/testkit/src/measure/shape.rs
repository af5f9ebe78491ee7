use core::time;

use rand::RngExt as _;
use rand::SeedableRng as _;

use crate::engine;
use crate::load;
use crate::measure::class::{Class, Work};
use crate::measure::scenario::Scenario;
use crate::measure::team::Team;

/// Draws from which the mean cost of a request is estimated.
const DRAWS: u32 = 20_000;
/// Share of a prompt that the prefix cache does not save.
const UNCACHED: f64 = 0.5;
/// Bytes per prompt token.
const TOKEN_BYTES: f64 = 4.0;
/// Share of requests whose caller hangs up early.
const HANGUPS: f64 = 0.03;
/// Share of the demand of the anonymous class that comes from anonymous callers.
const ANONYMOUS_SHARE: f64 = 0.1;
/// Callers per team.
const CALLERS: u32 = 6;
/// Mean share of the capacity of a plain service that is used.
const SERVICE_USE: f64 = 0.6;
/// Factor by which the greedy team asks for more than its share.
const GREED: f64 = 6.0;

/// A deployment in small.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Name.
    pub name: &'static str,
    /// Name of the model.
    pub model: &'static str,
    /// Number of engines.
    pub engines: usize,
    /// Properties of each engine.
    pub engine: engine::Options,
    /// Concurrent calls per service endpoint.
    pub service_slots: usize,
    /// Classes; the first one is the one with short answers.
    pub classes: Vec<Class>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Index of the class of anonymous callers.
    pub anonymous: usize,
    /// Index of the team that asks for more than its share in the scenario for it.
    pub greedy: usize,
    /// Data centres.
    pub data_centres: Vec<&'static str>,
    /// Amplitude and period of the swing.
    pub swing: (f64, time::Duration),
}

impl Shape {
    /// Returns the flows of a scenario over `span`.
    pub fn flows(&self, scenario: Scenario, span: time::Duration) -> Vec<load::Flow> {
        let mut flows = Vec::new();
        for (index, team) in self.teams.iter().enumerate() {
            let weights = self.teams.iter().filter(|other| other.class == team.class);
            let share = team.weight / weights.map(|other| other.weight).sum::<f64>();
            let greedy = scenario == Scenario::GreedyTeam && index == self.greedy;
            let factor = if greedy { GREED } else { 1.0 };
            let mut flow = self.flow(team.class, scenario, span);
            flow.team = team.name.into();
            flow.key = Some(team.key());
            flow.rate *= share * factor * self.known(team.class);
            flows.push(flow);
        }
        let mut anonymous = self.flow(self.anonymous, scenario, span);
        anonymous.rate *= ANONYMOUS_SHARE;
        flows.push(anonymous);
        flows
    }

    /// Returns the mean engine time of a request of a model class with full batches.
    pub fn cost(&self, class: usize, prompt: (usize, usize)) -> time::Duration {
        let engine = &self.engine;
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(0);
        let lengths = (0..DRAWS).map(|_| {
            let seed = engine::Length::seed(class, rng.random());
            f64::from(engine::Length::of_seed(&engine.lengths, engine.seed, seed))
        });
        let tokens = lengths.sum::<f64>() / f64::from(DRAWS);
        let step = engine.decode.mul_f64(1.0 + engine.batch_growth);
        let decode = step.mul_f64(tokens / engine.slots as f64);
        let bytes = (prompt.0 + prompt.1) as f64 / 2.0;
        decode + engine.prefill.mul_f64(UNCACHED * bytes / TOKEN_BYTES)
    }

    /// Returns the share of a class's demand that comes from teams.
    fn known(&self, class: usize) -> f64 {
        if class == self.anonymous {
            1.0 - ANONYMOUS_SHARE
        } else {
            1.0
        }
    }

    fn flow(&self, index: usize, scenario: Scenario, span: time::Duration) -> load::Flow {
        let class = &self.classes[index];
        let (rate, work) = match class.work {
            Work::Model { share, prompt } => {
                let cost = self.cost(index, prompt).as_secs_f64();
                let rate = scenario.utilisation() * share * self.engines as f64 / cost;
                let work = load::Work::Model {
                    model: self.model.into(),
                    length: index,
                    max_tokens: None,
                    prompt,
                };
                (rate, work)
            }
            Work::Service { endpoints, delay } => {
                let places = (endpoints * self.service_slots) as f64;
                let work = load::Work::Service {
                    path: format!("/services/{}/call", class.name),
                    keyed: !class.idempotent,
                };
                (SERVICE_USE * places / delay.as_secs_f64(), work)
            }
        };
        load::Flow {
            class: class.name.into(),
            team: "anonymous".into(),
            key: None,
            callers: CALLERS,
            rate,
            swing: scenario.swing(self.swing, index == self.anonymous, span),
            hangups: HANGUPS,
            work,
        }
    }
}
