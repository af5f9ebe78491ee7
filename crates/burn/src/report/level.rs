/// Burn rate of one hour and of five minutes from which somebody must act at
/// once: it uses up 2% of a month's allowance within the hour.
const PAGE: f64 = 14.4;

/// Burn rate of three days and of six hours from which the objective is missed
/// if nothing changes.
const TICKET: f64 = 1.0;

/// How urgent a burn rate is. Each level needs a long window, which shows that
/// the loss matters, and a short one, which shows that it lasts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// The objective holds.
    Ok,
    /// The objective is missed if nothing changes.
    Ticket,
    /// Somebody must act at once.
    Page,
}

impl Level {
    /// Returns the level of the burn rates of [`crate::Window::ALL`].
    pub(crate) fn new(burns: [Option<f64>; 4]) -> Self {
        let [minutes5, hour, hours6, days3] = burns.map(Option::unwrap_or_default);
        if minutes5 >= PAGE && hour >= PAGE {
            return Self::Page;
        }
        match hours6 >= TICKET && days3 >= TICKET {
            true => Self::Ticket,
            false => Self::Ok,
        }
    }

    /// Returns the name in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Ok => "ok",
            Self::Ticket => "ticket",
            Self::Page => "page",
        }
    }
}
