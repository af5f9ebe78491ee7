use core::fmt;

use crate::configuration;
use crate::entry;
use crate::schema;
use crate::statement;

/// Width of `key = value` before the comment with the origin, in characters.
const COLUMN: usize = 48;

/// Renders the merged settings; each line names the file and line that the
/// value comes from, or says that it is a default. Shared keys are masked.
pub fn render(outcome: &configuration::Configuration) -> String {
    let mut out = String::new();
    // Writing to a string does not fail.
    let _ = write(&mut out, outcome);
    out
}

fn write(out: &mut impl fmt::Write, outcome: &configuration::Configuration) -> fmt::Result {
    let mut separator = "";
    for schema in schema::SECTIONS {
        for name in names(outcome, schema) {
            write!(out, "{separator}")?;
            separator = "\n";
            match name {
                "" => writeln!(out, "[{}]", schema.name)?,
                name => writeln!(out, "[{} {name}]", schema.name)?,
            }
            for key in schema.keys {
                line(
                    out,
                    outcome,
                    key,
                    &entry::Entry::new(schema.name, name, key.name),
                )?;
            }
        }
    }
    Ok(())
}

fn names<'a>(
    outcome: &'a configuration::Configuration,
    schema: &'static schema::Section,
) -> Vec<&'a str> {
    if schema.naming == schema::Naming::None {
        return vec![""];
    }
    let sections = outcome.sections.iter();
    sections
        .filter(|(section, _)| *section == schema.name)
        .map(|(_, name)| name.as_str())
        .collect()
}

fn line(
    out: &mut impl fmt::Write,
    outcome: &configuration::Configuration,
    key: &schema::Key,
    place: &entry::Entry,
) -> fmt::Result {
    let given = outcome.texts.get(place).map(String::as_str);
    let Some(text) = given.or(key.default_text()) else {
        return Ok(());
    };
    let text = match key.kind.is_secret() && !text.is_empty() {
        true => statement::MASK,
        false => text,
    };
    let pair = format!("{} = {text}", key.name);
    match outcome.origin(place) {
        Some(origin) => writeln!(out, "{pair:<COLUMN$} ; {}:{}", origin.file, origin.line),
        None => writeln!(out, "{pair:<COLUMN$} ; default"),
    }
}
