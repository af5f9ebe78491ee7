use core::time;

use rand::RngExt as _;
use rand::SeedableRng as _;

use crate::engine;
use crate::load;
use crate::measure::class::{Class, Work};
use crate::measure::scenario::Scenario;
use crate::measure::team::Team;

/// Number of samples from which the mean output length is estimated.
const LENGTH_SAMPLES: u32 = 20_000;
/// Fraction of a prompt that is not found in the prefix cache.
const UNCACHED_SHARE: f64 = 0.5;
/// Bytes per prompt token.
const TOKEN_BYTES: f64 = 4.0;
/// Fraction of requests whose caller hangs up early.
const HANGUP_SHARE: f64 = 0.03;
/// Fraction of the demand of the anonymous class that anonymous callers cause.
const ANONYMOUS_SHARE: f64 = 0.1;
/// Number of callers per team.
const CALLERS: u32 = 6;
/// Mean utilisation of a service, 0 to 1.
const SERVICE_UTILISATION: f64 = 0.6;
/// Factor by which the demand of the greedy team exceeds its share.
const GREEDY_FACTOR: f64 = 6.0;

/// Scaled-down model of a deployment.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Name of the shape.
    pub name: &'static str,
    /// Name of the model.
    pub model: &'static str,
    /// Number of engines.
    pub engines: usize,
    /// Configuration of each engine.
    pub engine: engine::Options,
    /// Maximum number of concurrent calls per service endpoint.
    pub service_slots: usize,
    /// Classes; the first one has short answers.
    pub classes: Vec<Class>,
    /// Teams with their classes and weights.
    pub teams: Vec<Team>,
    /// Index of the class of anonymous callers.
    pub anonymous: usize,
    /// Index of the team whose demand exceeds its share in [`Scenario::GreedyTeam`].
    pub greedy: usize,
    /// Data centres, to which hosts and endpoints are assigned in turn.
    pub data_centres: Vec<&'static str>,
    /// Amplitude and period of the demand in [`Scenario::Crest`].
    pub swing: (f64, time::Duration),
}

impl Shape {
    /// Returns the flows of a scenario for a run of length `span`, one per team and a last one
    /// for anonymous callers.
    pub fn flows(&self, scenario: Scenario, span: time::Duration) -> Vec<load::Flow> {
        let mut flows = Vec::new();
        for (index, team) in self.teams.iter().enumerate() {
            let weights = self.teams.iter().filter(|other| other.class == team.class);
            let share = team.weight / weights.map(|other| other.weight).sum::<f64>();
            let greedy = scenario == Scenario::GreedyTeam && index == self.greedy;
            let factor = if greedy { GREEDY_FACTOR } else { 1.0 };
            let mut flow = self.flow(team.class, scenario, span);
            flow.team = team.name.into();
            flow.key = Some(team.key());
            flow.rate *= share * factor * self.team_share(team.class);
            flows.push(flow);
        }
        let mut anonymous = self.flow(self.anonymous, scenario, span);
        anonymous.rate *= ANONYMOUS_SHARE;
        flows.push(anonymous);
        flows
    }

    /// Returns the mean engine time per request of a model class if all batches are full.
    ///
    /// `class` is the index of the class and `prompt` its range of prompt lengths in bytes.
    pub fn cost(&self, class: usize, prompt: (usize, usize)) -> time::Duration {
        let engine = &self.engine;
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(0);
        let lengths = (0..LENGTH_SAMPLES).map(|_| {
            let seed = engine::Length::seed(class, rng.random());
            f64::from(engine::Length::of_seed(&engine.lengths, engine.seed, seed))
        });
        let tokens = lengths.sum::<f64>() / f64::from(LENGTH_SAMPLES);
        let step = engine.decode.mul_f64(1.0 + engine.batch_growth);
        let decode = step.mul_f64(tokens / engine.slots as f64);
        let bytes = (prompt.0 + prompt.1) as f64 / 2.0;
        decode + engine.prefill.mul_f64(UNCACHED_SHARE * bytes / TOKEN_BYTES)
    }

    /// Returns the fraction of a class's demand that teams cause.
    fn team_share(&self, class: usize) -> f64 {
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
                let slots = (endpoints * self.service_slots) as f64;
                let work = load::Work::Service {
                    path: format!("/services/{}/call", class.name),
                    keyed: !class.idempotent,
                };
                (SERVICE_UTILISATION * slots / delay.as_secs_f64(), work)
            }
        };
        load::Flow {
            class: class.name.into(),
            team: "anonymous".into(),
            key: None,
            callers: CALLERS,
            rate,
            swing: scenario.swing(self.swing, index == self.anonymous, span),
            hangups: HANGUP_SHARE,
            work,
        }
    }
}
