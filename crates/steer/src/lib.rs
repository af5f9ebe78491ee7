//! Endpoint selection, admission and retry budget for opaque traffic.
//!
//! Every host decides for itself. [`Balancer`] combines three sources: the
//! requests that this host has at each endpoint, the loads that other hosts
//! publish as [`Load`], and the reports that come with answers.
//! [`Balancer::pick`] weighs the expected wait at each endpoint, the probable
//! content of its prefix cache and the cost of traffic between data centres.
//! [`Balancer::explain`] reports how it would decide, and [`State`] is a copy of what
//! decisions read, for files. [`Budget`] bounds retries.
//!
//! Nothing here does I/O or reads a clock; times are durations since the start
//! of the process. Crate `edge` sends the requests and exchanges the published
//! loads. Crate `fleet` is about hosts rather than endpoints. Crate `route`
//! selects endpoints behind a queue, where one host owns each shard of them; here
//! all hosts share all endpoints.
//!
//! Terms: bulk work is dominated by the prompt, interactive work by the answer.
//! A service without model engines has requests without a prompt.

mod balancer;
mod brittle;
mod budget;
mod cache;
mod change;
mod choose;
pub mod cold;
mod counts;
mod demand;
mod demands;
mod departed;
mod division;
mod end;
mod endpoint;
mod estimate;
mod evacuation;
mod exchange;
mod explain;
mod fair;
mod fault;
mod gate;
mod gateway;
mod key;
mod limit;
mod load;
mod options;
mod ordered;
mod partition;
mod pause;
mod penalties;
mod pick;
mod placement;
mod quota;
pub mod rate;
mod reach;
mod recent;
mod report;
mod run;
mod scope;
mod state;
mod trace;
mod warmup;
mod work;

mod shortlist;
mod sum;
mod targets;
mod weigh;

pub use balancer::Balancer;
pub use brittle::Brittle;
pub use budget::{Allowance, Budget};
pub use change::Change;
pub use counts::Counts;
pub use demand::Demand;
pub use demands::Demands;
pub use division::View;
pub use end::End;
pub use estimate::Terms;
pub use evacuation::{Evacuated, Evacuations, Kept};
pub use explain::{Considered, Explanation, Weighed};
pub use gate::Gate;
pub use gateway::Role;
pub use key::Key;
pub use limit::{Limit, Limited};
pub use load::Load;
pub use options::Options;
pub use pick::{Decision, Pick, Refusal};
pub use placement::Placement;
pub use report::Report;
pub use run::Run;
pub use scope::Scope;
pub use state::{Damage, State};
pub use sum::Sum;
pub use trace::Costs;
pub use work::{Objective, Part, Work};
