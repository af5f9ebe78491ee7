use core::fmt;

use crate::cause;
use crate::report;

/// Width of the column with classes and teams, in characters.
const NAME_WIDTH: usize = 28;

/// Position in [`crate::Window::ALL`] of the window whose causes are shown.
pub(super) const CAUSE_WINDOW: usize = 1;

pub(super) fn render(report: &report::Report) -> String {
    let mut out = String::new();
    // Writing to a string cannot fail.
    let _ = write(&mut out, report);
    out
}

fn write(out: &mut impl fmt::Write, report: &report::Report) -> fmt::Result {
    writeln!(
        out,
        "Burn rates (hosts: {}); 1.0 uses up the allowed misses.",
        report.hosts
    )?;
    write!(out, "{:<NAME_WIDTH$} {:>7}", "class / team", "target")?;
    for window in crate::Window::ALL {
        write!(out, " {:>7}", window.name())?;
    }
    writeln!(
        out,
        " {:>9} {:>8} {:>6} misses in 1h",
        "requests", "p95", "level"
    )?;
    report.rows.iter().try_for_each(|row| write_row(out, row))
}

fn write_row(out: &mut impl fmt::Write, row: &report::Row) -> fmt::Result {
    let name = match &row.team {
        Some(team) => format!("  {team}"),
        None => row.class.clone(),
    };
    write!(out, "{name:<NAME_WIDTH$} {:>6.2}%", row.attainment * 100.0)?;
    for cell in &row.windows {
        match cell.burn {
            Some(burn) => write!(out, " {burn:>7.2}")?,
            None => write!(out, " {:>7}", "-")?,
        }
    }
    let totals = &row.windows[CAUSE_WINDOW].totals;
    let p95 = row.first_p95_ms.map(|ms| format!("{ms}ms"));
    let p95 = p95.unwrap_or_else(|| "-".to_owned());
    write!(
        out,
        " {:>9} {p95:>8} {:>6}",
        totals.requests(),
        row.level.name()
    )?;
    for cause in cause::Cause::ALL {
        if totals.bad_by_cause(cause) > 0 {
            write!(out, " {} {}", cause.name(), totals.bad_by_cause(cause))?;
        }
    }
    writeln!(out)
}
