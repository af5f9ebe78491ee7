use core::time;

/// The settings in force as printed by crate `conf`, without secrets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Printed {
    pub(crate) entries: Vec<admin::Entry>,
    /// SHA-256 digest of the files.
    pub(crate) content: [u8; 32],
    /// Time at which they came into force, from the start of the process.
    pub(crate) at: time::Duration,
}

impl Printed {
    /// Parses the values and their sources from the printed settings.
    pub(crate) fn new(configuration: &conf::Configuration, at: time::Duration) -> Self {
        let text = conf::render(configuration);
        let mut section = "";
        let mut entries = Vec::new();
        for line in text.lines() {
            match line
                .strip_prefix('[')
                .and_then(|rest| rest.strip_suffix(']'))
            {
                Some(name) => section = name,
                None => entries.extend(entry(section, line)),
            }
        }
        Self {
            entries,
            content: configuration.digest,
            at,
        }
    }
}

/// Parses a line of the form `key = value ; file:line`. A default has no file.
fn entry(section: &str, line: &str) -> Option<admin::Entry> {
    let (pair, source) = line.rsplit_once(" ; ")?;
    let (key, value) = pair.split_once('=')?;
    let origin = source.rsplit_once(':');
    let origin = origin.and_then(|(file, line)| Some((file, line.parse().ok()?)));
    Some(admin::Entry {
        section: section.to_owned(),
        key: key.trim().to_owned(),
        value: value.trim().to_owned(),
        file: origin.map(|(file, _)| file.to_owned()),
        line: origin.map(|(_, line)| line),
    })
}
