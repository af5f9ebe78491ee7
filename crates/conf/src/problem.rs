use std::fmt;

/// One thing that is wrong with the settings.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Problem {
    /// File; empty when a section is missing from every file.
    pub file: String,
    /// Line, counted from 1; 0 when the problem has no line.
    pub line: u32,
    /// Section with its name, without brackets; empty outside of a section.
    pub section: String,
    /// Key; empty when the problem is not about one key.
    pub key: String,
    /// Value as written; masked when it is secret, empty when there is none.
    pub value: String,
    /// What was expected instead.
    pub expected: String,
    /// Nearest known name, if one is near.
    pub hint: Option<String>,
}

impl fmt::Display for Problem {
    /// Writes one line; control characters of the files are replaced.
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
