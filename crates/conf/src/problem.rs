use std::fmt;

/// One invalid or missing part of the settings.
///
/// Problems sort by file, line, section and key.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Problem {
    /// Name of the file; empty if the problem belongs to no file.
    pub file: String,
    /// Line, counted from 1; 0 if the problem concerns no single line.
    pub line: u32,
    /// Section with its name, without brackets; empty outside of a section.
    pub section: String,
    /// Key; empty if the problem does not concern a single key.
    pub key: String,
    /// Value as written; masked if it may be secret, empty if there is none.
    pub value: String,
    /// Description of what was expected, worded to follow `expected`.
    pub expected: String,
    /// Most similar known name, if one is similar enough.
    pub hint: Option<String>,
}

impl fmt::Display for Problem {
    /// Writes one line; control characters from the files are replaced.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.file.as_str(), self.line) {
            ("", _) => f.write_str("settings: ")?,
            (file, 0) => write!(f, "{file}: ")?,
            (file, line) => write!(f, "{file}:{line}: ")?,
        }
        if !self.section.is_empty() {
            write!(f, "[{}] ", printable(&self.section))?;
        }
        let (key, value) = (printable(&self.key), printable(&self.value));
        match (key.as_str(), value.as_str()) {
            ("", "") => {}
            ("", value) => write!(f, "{value}: ")?,
            (key, "") => write!(f, "{key}: ")?,
            (key, value) => write!(f, "{key} = {value}: ")?,
        }
        write!(f, "expected {}", self.expected)?;
        match &self.hint {
            Some(hint) => write!(f, "; nearest known name: {hint}"),
            None => Ok(()),
        }
    }
}

fn printable(text: &str) -> String {
    let plain = |c: char| {
        if c.is_control() {
            char::REPLACEMENT_CHARACTER
        } else {
            c
        }
    };
    text.chars().map(plain).collect()
}
