use crate::report::level;
use crate::snapshot;
use crate::totals;
use crate::window;

/// Quantile of the latency in reports.
const LATENCY_QUANTILE: f64 = 0.95;

/// Burn rates of one class, or of one team within a class.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Row {
    /// Name of the class.
    pub class: String,
    /// Name of the team; `None` for all teams of the class.
    pub team: Option<String>,
    /// Share of requests that must meet the targets, 0 to 1.
    pub attainment: f64,
    /// Urgency of the burn rates.
    pub level: level::Level,
    /// 95th percentile of the time to the first token within the last hour, in
    /// milliseconds; `None` for teams and without latencies.
    pub first_p95_ms: Option<u64>,
    /// One cell for each of [`crate::Window::ALL`].
    pub windows: [Cell; 4],
}

/// Requests and burn rate within one window.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct Cell {
    /// Name of the window, as [`window::Window::name`] returns it.
    pub window: &'static str,
    /// Requests by verdict and cause.
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
        let p95 = objective.latency.quantile(LATENCY_QUANTILE);
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

    /// Returns the highest burn rate of all windows; 0 without requests.
    pub(super) fn peak_burn_rate(&self) -> f64 {
        let burns = self.windows.iter().filter_map(|cell| cell.burn);
        burns.fold(0.0, f64::max)
    }
}
