use core::fmt;

use crate::cause;
use crate::report;
use crate::report::text;

/// Sizes in pixels.
const WIDTH: f64 = 860.0;
const TOP: f64 = 64.0;
const BAR: f64 = 12.0;
const BLOCK: f64 = 76.0;
const LABEL: f64 = 180.0;
const SCALE: f64 = 400.0;
const CAUSES: f64 = 660.0;
const CAUSE_SCALE: f64 = 180.0;

/// Characters of a name that fit left of the bars.
const NAME_MAX: usize = 22;

/// Burn rates at both ends of the logarithmic scale.
const LEAST: f64 = 0.1;
const MOST: f64 = 100.0;

/// Burn rates with a line.
const MARKS: [f64; 4] = [0.1, 1.0, 10.0, 100.0];

/// Colours of [`cause::Cause::ALL`], which differ in brightness too.
const COLOURS: [&str; 4] = ["#1b6ca8", "#e08e0b", "#7a3b9a", "#9aa5ab"];

pub(super) fn render(report: &report::Report) -> String {
    let mut out = String::new();
    // Writing to a string does not fail.
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
    let height = (classes.len() as f64).mul_add(BLOCK, TOP) + 8.0;
    writeln!(
        out,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\" \
         viewBox=\"0 0 {WIDTH} {height}\" font-family=\"sans-serif\" font-size=\"11\">"
    )?;
    writeln!(out, "<title>Burn rate by class</title>")?;
    writeln!(
        out,
        "<rect width=\"{WIDTH}\" height=\"{height}\" fill=\"#ffffff\"/>"
    )?;
    head(out, report.hosts, height)?;
    for (index, row) in classes.into_iter().enumerate() {
        #[expect(clippy::cast_precision_loss, reason = "there are few classes")]
        let top = (index as f64).mul_add(BLOCK, TOP);
        block(out, row, top)?;
    }
    writeln!(out, "</svg>")
}

fn head(out: &mut impl fmt::Write, hosts: u64, height: f64) -> fmt::Result {
    label(
        out,
        8.0,
        20.0,
        &format!("Burn rate by class (hosts: {hosts}; logarithmic)"),
    )?;
    for mark in MARKS {
        let x = LABEL + length(mark);
        let colour = if mark == 1.0 { "#c0392b" } else { "#dddddd" };
        writeln!(
            out,
            "<line x1=\"{x:.1}\" y1=\"52\" x2=\"{x:.1}\" y2=\"{:.1}\" stroke=\"{colour}\"/>",
            height - 8.0
        )?;
        label(out, x - 6.0, 46.0, &mark.to_string())?;
    }
    label(out, CAUSES, 20.0, "Misses in 1h by cause")?;
    let mut x = CAUSES;
    for (cause, colour) in cause::Cause::ALL.into_iter().zip(COLOURS) {
        bar(out, x, 38.0, 8.0, colour)?;
        label(out, x + 11.0, 46.0, cause.name())?;
        x += 47.0;
    }
    Ok(())
}

fn block(out: &mut impl fmt::Write, row: &report::Row, top: f64) -> fmt::Result {
    label(out, 8.0, top + 22.0, &short(&row.class))?;
    let target = format!("{:.2}% — {}", row.attainment * 100.0, row.level.name());
    label(out, 8.0, top + 38.0, &target)?;
    let mut y = top + 4.0;
    for cell in &row.windows {
        label(out, LABEL - 24.0, y + BAR - 2.0, cell.window)?;
        let burn = cell.burn.unwrap_or_default();
        let colour = if burn >= 1.0 { "#c0392b" } else { "#2e8b57" };
        bar(out, LABEL, y, length(burn), colour)?;
        let value = cell
            .burn
            .map_or("-".to_owned(), |burn| format!("{burn:.2}"));
        label(out, LABEL + length(burn) + 4.0, y + BAR - 2.0, &value)?;
        y += BAR + 4.0;
    }
    causes(out, row, top + 20.0)
}

#[expect(clippy::cast_precision_loss, reason = "a share needs few digits")]
fn causes(out: &mut impl fmt::Write, row: &report::Row, y: f64) -> fmt::Result {
    let totals = &row.windows[text::CAUSES].totals;
    let bad = totals.bad();
    let mut x = CAUSES;
    for (cause, colour) in cause::Cause::ALL.into_iter().zip(COLOURS) {
        let width = totals.bad_by_cause(cause) as f64 / bad.max(1) as f64 * CAUSE_SCALE;
        bar(out, x, y, width, colour)?;
        x += width;
    }
    label(
        out,
        CAUSES,
        y + 26.0,
        &format!("{bad} of {} requests", totals.requests()),
    )
}

/// Returns a name that fits left of the bars.
fn short(name: &str) -> String {
    if name.chars().count() <= NAME_MAX {
        return name.to_owned();
    }
    let start: String = name.chars().take(NAME_MAX - 1).collect();
    format!("{start}…")
}

/// Returns the length of the bar of a burn rate.
fn length(burn: f64) -> f64 {
    let share = (burn.max(LEAST) / LEAST).log10() / (MOST / LEAST).log10();
    share.clamp(0.0, 1.0) * SCALE
}

fn bar(out: &mut impl fmt::Write, x: f64, y: f64, width: f64, colour: &str) -> fmt::Result {
    writeln!(
        out,
        "<rect x=\"{x:.1}\" y=\"{y:.1}\" width=\"{width:.1}\" height=\"{BAR}\" fill=\"{colour}\"/>"
    )
}

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
