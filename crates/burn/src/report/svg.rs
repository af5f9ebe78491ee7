use core::fmt;

use crate::cause;
use crate::report;
use crate::report::text;

const WIDTH_PX: f64 = 860.0;
/// Height of the title, the legend and the scale.
const HEADER_HEIGHT_PX: f64 = 64.0;
const BAR_HEIGHT_PX: f64 = 12.0;
const CLASS_HEIGHT_PX: f64 = 76.0;
/// Left end of the burn-rate bars.
const BURN_LEFT_PX: f64 = 180.0;
/// Length of the burn-rate scale.
const BURN_LENGTH_PX: f64 = 400.0;
/// Left end of the bar of causes.
const CAUSES_LEFT_PX: f64 = 660.0;
/// Length of the bar of causes.
const CAUSES_LENGTH_PX: f64 = 180.0;

/// Maximum number of characters of a name left of the bars.
const NAME_CHARS_MAX: usize = 22;

/// Burn rates at both ends of the logarithmic scale.
const BURN_RATE_MIN: f64 = 0.1;
const BURN_RATE_MAX: f64 = 100.0;

/// Burn rates with a grid line.
const GRID_BURN_RATES: [f64; 4] = [0.1, 1.0, 10.0, 100.0];

/// Colours of [`cause::Cause::ALL`]. They also differ in brightness.
const CAUSE_COLOURS: [&str; 4] = ["#1b6ca8", "#e08e0b", "#7a3b9a", "#9aa5ab"];

pub(super) fn render(report: &report::Report) -> String {
    let mut out = String::new();
    // Writing to a string cannot fail.
    let _ = write(&mut out, report);
    out
}

fn write(out: &mut impl fmt::Write, report: &report::Report) -> fmt::Result {
    let classes: Vec<_> = report
        .rows
        .iter()
        .filter(|row| row.team.is_none())
        .collect();
    #[expect(clippy::cast_precision_loss, reason = "there are few classes")]
    let height = (classes.len() as f64).mul_add(CLASS_HEIGHT_PX, HEADER_HEIGHT_PX) + 8.0;
    writeln!(
        out,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH_PX}\" height=\"{height}\" \
         viewBox=\"0 0 {WIDTH_PX} {height}\" font-family=\"sans-serif\" font-size=\"11\">"
    )?;
    writeln!(out, "<title>Burn rate by class</title>")?;
    writeln!(
        out,
        "<rect width=\"{WIDTH_PX}\" height=\"{height}\" fill=\"#ffffff\"/>"
    )?;
    header(out, report.hosts, height)?;
    for (index, row) in classes.into_iter().enumerate() {
        #[expect(clippy::cast_precision_loss, reason = "there are few classes")]
        let top = (index as f64).mul_add(CLASS_HEIGHT_PX, HEADER_HEIGHT_PX);
        class_block(out, row, top)?;
    }
    writeln!(out, "</svg>")
}

fn header(out: &mut impl fmt::Write, hosts: u64, height: f64) -> fmt::Result {
    label(
        out,
        8.0,
        20.0,
        &format!("Burn rate by class (hosts: {hosts}; logarithmic)"),
    )?;
    for mark in GRID_BURN_RATES {
        let x = BURN_LEFT_PX + bar_length(mark);
        let colour = if mark == 1.0 { "#c0392b" } else { "#dddddd" };
        writeln!(
            out,
            "<line x1=\"{x:.1}\" y1=\"52\" x2=\"{x:.1}\" y2=\"{:.1}\" stroke=\"{colour}\"/>",
            height - 8.0
        )?;
        label(out, x - 6.0, 46.0, &mark.to_string())?;
    }
    label(out, CAUSES_LEFT_PX, 20.0, "Misses in 1h by cause")?;
    let mut x = CAUSES_LEFT_PX;
    for (cause, colour) in cause::Cause::ALL.into_iter().zip(CAUSE_COLOURS) {
        bar(out, x, 38.0, 8.0, colour)?;
        label(out, x + 11.0, 46.0, cause.name())?;
        x += 47.0;
    }
    Ok(())
}

fn class_block(out: &mut impl fmt::Write, row: &report::Row, top: f64) -> fmt::Result {
    label(out, 8.0, top + 22.0, &shorten(&row.class))?;
    let target = format!("{:.2}% — {}", row.attainment * 100.0, row.level.name());
    label(out, 8.0, top + 38.0, &target)?;
    let mut y = top + 4.0;
    for cell in &row.windows {
        label(
            out,
            BURN_LEFT_PX - 24.0,
            y + BAR_HEIGHT_PX - 2.0,
            cell.window,
        )?;
        let burn = cell.burn.unwrap_or_default();
        let colour = if burn >= 1.0 { "#c0392b" } else { "#2e8b57" };
        bar(out, BURN_LEFT_PX, y, bar_length(burn), colour)?;
        let value = cell
            .burn
            .map_or("-".to_owned(), |burn| format!("{burn:.2}"));
        label(
            out,
            BURN_LEFT_PX + bar_length(burn) + 4.0,
            y + BAR_HEIGHT_PX - 2.0,
            &value,
        )?;
        y += BAR_HEIGHT_PX + 4.0;
    }
    causes(out, row, top + 20.0)
}

#[expect(clippy::cast_precision_loss, reason = "a share needs few digits")]
fn causes(out: &mut impl fmt::Write, row: &report::Row, y: f64) -> fmt::Result {
    let totals = &row.windows[text::CAUSE_WINDOW].totals;
    let bad = totals.bad();
    let mut x = CAUSES_LEFT_PX;
    for (cause, colour) in cause::Cause::ALL.into_iter().zip(CAUSE_COLOURS) {
        let width = totals.bad_by_cause(cause) as f64 / bad.max(1) as f64 * CAUSES_LENGTH_PX;
        bar(out, x, y, width, colour)?;
        x += width;
    }
    label(
        out,
        CAUSES_LEFT_PX,
        y + 26.0,
        &format!("{bad} of {} requests", totals.requests()),
    )
}

/// Returns a name, shortened to fit left of the bars.
fn shorten(name: &str) -> String {
    if name.chars().count() <= NAME_CHARS_MAX {
        return name.to_owned();
    }
    let start: String = name.chars().take(NAME_CHARS_MAX - 1).collect();
    format!("{start}…")
}

/// Returns the length of the bar of a burn rate on the logarithmic scale, in pixels.
fn bar_length(burn: f64) -> f64 {
    let share =
        (burn.max(BURN_RATE_MIN) / BURN_RATE_MIN).log10() / (BURN_RATE_MAX / BURN_RATE_MIN).log10();
    share.clamp(0.0, 1.0) * BURN_LENGTH_PX
}

fn bar(out: &mut impl fmt::Write, x: f64, y: f64, width: f64, colour: &str) -> fmt::Result {
    writeln!(
        out,
        "<rect x=\"{x:.1}\" y=\"{y:.1}\" width=\"{width:.1}\" height=\"{BAR_HEIGHT_PX}\" fill=\"{colour}\"/>"
    )
}

/// Writes a text element and escapes `text`. Control characters, which XML does not
/// allow, become spaces.
fn label(out: &mut impl fmt::Write, x: f64, y: f64, text: &str) -> fmt::Result {
    write!(out, "<text x=\"{x:.1}\" y=\"{y:.1}\">")?;
    for c in text.chars() {
        match c {
            '<' => out.write_str("&lt;")?,
            '>' => out.write_str("&gt;")?,
            '&' => out.write_str("&amp;")?,
            c if c.is_control() => out.write_char(' ')?,
            c => out.write_char(c)?,
        }
    }
    writeln!(out, "</text>")
}
