use std::collections;

use crate::file;
use crate::header;
use crate::hint;
use crate::problem;
use crate::schema;

/// Replacement for a text that may contain a secret.
pub(crate) const MASK: &str = "(masked)";

/// One valid line of a file: a section header or a known key.
#[derive(Debug)]
pub(crate) enum Statement<'a> {
    /// Header of a section.
    Section {
        /// Section that starts here.
        header: header::Header,
        /// Line, counted from 1.
        line: u32,
    },
    /// Key with its value.
    Value {
        /// Section that the key belongs to.
        header: header::Header,
        /// Key in the schema.
        key: &'static schema::Key,
        /// Value as written, trimmed.
        text: &'a str,
        /// Line, counted from 1.
        line: u32,
    },
}

/// Parses the statements of a file and appends the problems found to `problems`.
pub(crate) fn parse<'a>(
    file: &'a file::File,
    problems: &mut Vec<problem::Problem>,
) -> Vec<Statement<'a>> {
    let mut parser = Parser {
        file,
        problems,
        section: Section::Missing,
        seen: collections::BTreeMap::new(),
        statements: Vec::new(),
    };
    parser.run();
    parser.statements
}

/// Section that contains the current line.
enum Section {
    /// No header yet.
    Missing,
    /// The header is invalid; its keys are skipped.
    Invalid,
    /// A section of the schema.
    Known(header::Header),
}

struct Parser<'a, 'p> {
    file: &'a file::File,
    problems: &'p mut Vec<problem::Problem>,
    section: Section,
    seen: collections::BTreeMap<(header::Header, &'static str), u32>,
    statements: Vec<Statement<'a>>,
}

impl<'a> Parser<'a, '_> {
    fn run(&mut self) {
        let text = self.file.text.as_str();
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let mut items = ini_core::Parser::new(text).auto_trim(true);
        loop {
            let line = items.line() + 1;
            match items.next() {
                None => return,
                Some(ini_core::Item::Section(text)) => self.header(text, line),
                Some(ini_core::Item::Property(key, value)) => self.property(key, value, line),
                Some(ini_core::Item::Error(text)) => self.malformed_header(text, line),
                Some(_) => {}
            }
        }
    }

    fn header(&mut self, text: &str, line: u32) {
        match header::Header::parse(text) {
            Ok(header) => {
                self.section = Section::Known(header.clone());
                self.statements.push(Statement::Section { header, line });
            }
            Err(error) => self.invalid_header(text, &error, line),
        }
    }

    fn invalid_header(&mut self, text: &str, error: &header::Error, line: u32) {
        self.section = Section::Invalid;
        let names = schema::SECTIONS.map(|section| section.name);
        let (expected, hint) = match error {
            header::Error::Unknown(word) => {
                ("a known section".to_owned(), hint::nearest(word, names))
            }
            header::Error::Unnamed(section) => (format!("[{section}] without a second name"), None),
            header::Error::Name(section, form) => (format!("[{section} NAME] with {form}"), None),
        };
        let mut problem = self.problem(text, line, expected);
        problem.hint = hint;
        self.problems.push(problem);
    }

    fn malformed_header(&mut self, text: &str, line: u32) {
        self.section = Section::Invalid;
        let expected =
            "a section header that starts in the first column and ends its line with ]".to_owned();
        let mut problem = self.problem("", line, expected);
        problem.value = text.to_owned();
        self.problems.push(problem);
    }

    fn property(&mut self, name: &'a str, value: Option<&'a str>, line: u32) {
        // `ini_core` recognises comments only in the first column and only with
        // `;`.
        if name.starts_with(['#', ';']) {
            return;
        }
        if name.starts_with('[') {
            return self.malformed_header(name, line);
        }
        let Some(text) = value else {
            return self.malformed_line(line);
        };
        match &self.section {
            Section::Invalid => {}
            Section::Missing => {
                let expected = "a section header before the first key".to_owned();
                let mut problem = self.problem("", line, expected);
                problem.key = name.to_owned();
                self.problems.push(problem);
            }
            Section::Known(header) => {
                let header = header.clone();
                self.value(header, name, text, line);
            }
        }
    }

    /// Reports a line that is neither a section header, a key nor a comment. The
    /// problem omits the text of the line, which may be a part of a secret.
    fn malformed_line(&mut self, line: u32) {
        let section = match &self.section {
            Section::Known(header) => header.to_string(),
            Section::Missing | Section::Invalid => String::new(),
        };
        let expected = "a comment, `key = value` or `[section]`".to_owned();
        let problem = self.problem(&section, line, expected);
        self.problems.push(problem);
    }

    fn value(&mut self, header: header::Header, name: &str, text: &'a str, line: u32) {
        let section = schema::section(header.section);
        let Some(key) = section.and_then(|section| section.key(name)) else {
            return self.unknown_key(&header, name, text, line);
        };
        if let Some(first) = self.seen.insert((header.clone(), key.name), line) {
            let expected = format!("the key once per file; it is also on line {first}");
            let mut problem = self.problem(&header.to_string(), line, expected);
            problem.key = name.to_owned();
            problem.value = display_text(key, text);
            self.problems.push(problem);
            return;
        }
        self.statements.push(Statement::Value {
            header,
            key,
            text,
            line,
        });
    }

    fn unknown_key(&mut self, header: &header::Header, name: &str, text: &str, line: u32) {
        let section = schema::section(header.section);
        let keys = section.map_or(&[][..], |section| section.keys);
        let nearest = hint::nearest(name, keys.iter().map(|key| key.name));
        let elsewhere = || {
            let other = schema::SECTIONS
                .into_iter()
                .find(|section| section.key(name).is_some())?;
            Some(format!("{name} in {}", other.title()))
        };
        let may_be_secret =
            header.section == "fleet" || name.contains("key") || name.contains("secret");
        let expected = format!("a known key of [{header}]");
        let mut problem = self.problem(&header.to_string(), line, expected);
        problem.key = name.to_owned();
        problem.value = if may_be_secret { MASK } else { text }.to_owned();
        problem.hint = elsewhere().or(nearest);
        self.problems.push(problem);
    }

    fn problem(&self, section: &str, line: u32, expected: String) -> problem::Problem {
        problem::Problem {
            file: self.file.name.clone(),
            line,
            section: section.to_owned(),
            key: String::new(),
            value: String::new(),
            expected,
            hint: None,
        }
    }
}

/// Returns the text of a value for a problem; masked if it may be secret.
pub(crate) fn display_text(key: &schema::Key, text: &str) -> String {
    match key.kind.may_be_secret() && !text.is_empty() {
        true => MASK.to_owned(),
        false => text.to_owned(),
    }
}
