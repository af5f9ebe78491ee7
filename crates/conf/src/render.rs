use core::fmt;

use crate::configuration;
use crate::entry;
use crate::schema;
use crate::statement;

/// Minimum width of `key = value` before the comment with the origin, in
/// characters.
const PAIR_WIDTH: usize = 48;

/// Renders the merged settings as INI text. A comment on each line gives the file
/// and line that set the value, or states that it is the default. Shared keys are
/// masked.
pub fn render(configuration: &configuration::Configuration) -> String {
    let mut out = String::new();
    // Writing to a string cannot fail.
    let _ = write(&mut out, configuration);
    out
}

fn write(out: &mut impl fmt::Write, configuration: &configuration::Configuration) -> fmt::Result {
    let mut separator = "";
    for schema in schema::SECTIONS {
        for name in names(configuration, schema) {
            write!(out, "{separator}")?;
            separator = "\n";
            match name {
                "" => writeln!(out, "[{}]", schema.name)?,
                name => writeln!(out, "[{} {name}]", schema.name)?,
            }
            for key in schema.keys {
                line(
                    out,
                    configuration,
                    key,
                    &entry::Entry::new(schema.name, name, key.name),
                )?;
            }
        }
    }
    Ok(())
}

/// Returns the names of the sections of one kind, sorted; a single empty name for
/// sections without one.
fn names<'a>(
    configuration: &'a configuration::Configuration,
    schema: &'static schema::Section,
) -> Vec<&'a str> {
    if schema.naming == schema::Naming::None {
        return vec![""];
    }
    let sections = configuration.sections.iter();
    sections
        .filter(|(section, _)| *section == schema.name)
        .map(|(_, name)| name.as_str())
        .collect()
}

fn line(
    out: &mut impl fmt::Write,
    configuration: &configuration::Configuration,
    key: &schema::Key,
    entry: &entry::Entry,
) -> fmt::Result {
    let explicit = configuration.texts.get(entry).map(String::as_str);
    let Some(text) = explicit.or(key.default_text()) else {
        return Ok(());
    };
    let text = match key.kind.is_secret() && !text.is_empty() {
        true => statement::MASK,
        false => text,
    };
    let pair = format!("{} = {text}", key.name);
    match configuration.origin(entry) {
        Some(origin) => writeln!(out, "{pair:<PAIR_WIDTH$} ; {}:{}", origin.file, origin.line),
        None => writeln!(out, "{pair:<PAIR_WIDTH$} ; default"),
    }
}
