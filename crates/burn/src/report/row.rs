use crate::report::level;
use crate::snapshot;
use crate::totals;
use crate::window;

/// Quantile of the latency in reports.
const QUANTILE: f64 = 0.95;

/// One class, or one team within a class.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Row {
    /// Class.
    pub class: String,
    /// Team; `None` for all teams of the class.
    pub team: Option<String>,
    /// Share of requests that must meet the targets, 0 to 1.
    pub attainment: f64,
    /// How urgent the burn rate is.
    pub level: level::Level,
    /// 95th percentile of the time to the first token within the last hour, in
    /// milliseconds; only for whole classes.
    pub first_p95_ms: Option<u64>,
    /// One cell for each of [`crate::Window::ALL`].
    pub windows: [Cell; 4],
}

/// Requests and burn rate within one window.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct Cell {
    /// Name of the window.
    pub window: &'static str,
    /// Requests by verdict.
    pub totals: totals::Totals,
    /// Burn rate; `None` without requests.
    pub burn: Option<f64>,
}

impl Row {
    pub(super) fn new(
        class: &str,
        team: Option<&String>,
        objective: &snapshot::Objective,
        windows: &[totals::Totals; 4],
    ) -> Self {
        let burns = windows.map(|totals| totals.burn_rate(objective.attainment));
        let p95 = objective.latency.quantile(QUANTILE);
        let p95 = p95.and_then(|latency| u64::try_from(latency.as_millis()).ok());
        Self {
            class: class.to_owned(),
            team: team.cloned(),
            attainment: objective.attainment,
            level: level::Level::new(burns),
            first_p95_ms: p95.filter(|_| team.is_none()),
            windows: core::array::from_fn(|index| Cell {
                window: window::Window::ALL[index].name(),
                totals: windows[index],
                burn: burns[index],
            }),
        }
    }

    /// Returns the highest burn rate of all windows.
    pub(super) fn peak(&self) -> f64 {
        let burns = self.windows.iter().filter_map(|cell| cell.burn);
        burns.fold(0.0, f64::max)
    }
}
