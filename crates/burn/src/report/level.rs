/// Burn rate of one hour and of five minutes from which an operator must act at
/// once. It uses up 2% of a month's error budget within an hour.
const PAGE_BURN_RATE: f64 = 14.4;

/// Burn rate of three days and of six hours from which the objective will be missed
/// if nothing changes.
const TICKET_BURN_RATE: f64 = 1.0;

/// Urgency of a burn rate.
///
/// A level requires its burn rate in a long window, which shows that the loss is
/// significant, and in a short one, which shows that it continues.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// No action is needed.
    Ok,
    /// The objective will be missed if nothing changes.
    Ticket,
    /// An operator must act at once.
    Page,
}

impl Level {
    /// Returns the level of the burn rates of [`crate::Window::ALL`]; `None` counts
    /// as 0.
    pub(crate) fn new(burns: [Option<f64>; 4]) -> Self {
        let [minutes5, hour, hours6, days3] = burns.map(Option::unwrap_or_default);
        if minutes5 >= PAGE_BURN_RATE && hour >= PAGE_BURN_RATE {
            return Self::Page;
        }
        match hours6 >= TICKET_BURN_RATE && days3 >= TICKET_BURN_RATE {
            true => Self::Ticket,
            false => Self::Ok,
        }
    }

    /// Returns the name in reports, which equals the serialized form.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Ok => "ok",
            Self::Ticket => "ticket",
            Self::Page => "page",
        }
    }
}
