use std::collections;

use crate::file;
use crate::header;
use crate::hint;
use crate::problem;
use crate::schema;

/// What stands in for a text that may contain a secret.
pub(crate) const MASK: &str = "(masked)";

/// One line of a file that takes part in the merge.
#[derive(Debug)]
pub(crate) enum Statement<'a> {
    /// Start of a section.
    Section {
        /// Header.
        header: header::Header,
        /// Line, counted from 1.
        line: u32,
    },
    /// Key in the section that started last.
    Value {
        /// Header of the section.
        header: header::Header,
        /// Key.
        key: &'static schema::Key,
        /// Value as written, trimmed.
        text: &'a str,
        /// Line, counted from 1.
        line: u32,
    },
}

/// Reads the statements of a file and adds what is wrong to `problems`.
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

/// Section that the current line is in.
enum Section {
    /// No section has started.
    Missing,
    /// The header was refused; its keys are passed over.
    Refused,
    /// A known section.
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
                Some(ini_core::Item::Section(text)) => self.start(text, line),
                Some(ini_core::Item::Property(key, value)) => self.property(key, value, line),
                Some(ini_core::Item::Error(text)) => self.malformed(text, line),
                Some(_) => {}
            }
        }
    }

    fn start(&mut self, text: &str, line: u32) {
        match header::Header::parse(text) {
            Ok(header) => {
                self.section = Section::Known(header.clone());
                self.statements.push(Statement::Section { header, line });
            }
            Err(fault) => self.refuse(text, &fault, line),
        }
    }

    fn refuse(&mut self, text: &str, fault: &header::Fault, line: u32) {
        self.section = Section::Refused;
        let names = schema::SECTIONS.map(|section| section.name);
        let (expected, hint) = match fault {
            header::Fault::Unknown(word) => {
                ("a known section".to_owned(), hint::nearest(word, names))
            }
            header::Fault::Unnamed(section) => (format!("[{section}] without a second name"), None),
            header::Fault::Name(section, form) => (format!("[{section} NAME] with {form}"), None),
        };
        let mut problem = self.problem(text, line, expected);
        problem.hint = hint;
        self.problems.push(problem);
    }

    fn malformed(&mut self, text: &str, line: u32) {
        self.section = Section::Refused;
        let expected =
            "a section header that starts in the first column and ends its line with ]".to_owned();
        let mut problem = self.problem("", line, expected);
        problem.value = text.to_owned();
        self.problems.push(problem);
    }

    fn property(&mut self, name: &'a str, value: Option<&'a str>, line: u32) {
        // The INI parser knows comments in the first column and only with `;`.
        if name.starts_with(['#', ';']) {
            return;
        }
        if name.starts_with('[') {
            return self.malformed(name, line);
        }
        let Some(text) = value else {
            return self.syntax(line);
        };
        match &self.section {
            Section::Refused => {}
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

    /// Reports a line that is neither a section, a key nor a comment. Its text
    /// stays out of the report because it may be a part of a secret.
    fn syntax(&mut self, line: u32) {
        let section = match &self.section {
            Section::Known(header) => header.to_string(),
            Section::Missing | Section::Refused => String::new(),
        };
        let expected = "a comment, `key = value` or `[section]`".to_owned();
        let problem = self.problem(&section, line, expected);
        self.problems.push(problem);
    }

    fn value(&mut self, header: header::Header, name: &str, text: &'a str, line: u32) {
        let section = schema::section(header.section);
        let Some(key) = section.and_then(|section| section.key(name)) else {
            return self.unknown(&header, name, text, line);
        };
        if let Some(first) = self.seen.insert((header.clone(), key.name), line) {
            let expected = format!("the key once per file; it is also on line {first}");
            let mut problem = self.problem(&header.to_string(), line, expected);
            problem.key = name.to_owned();
            problem.value = shown(key, text);
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

    fn unknown(&mut self, header: &header::Header, name: &str, text: &str, line: u32) {
        let section = schema::section(header.section);
        let keys = section.map_or(&[][..], |section| section.keys);
        let near = hint::nearest(name, keys.iter().map(|key| key.name));
        let elsewhere = || {
            let other = schema::SECTIONS
                .into_iter()
                .find(|section| section.key(name).is_some())?;
            Some(format!("{name} in {}", other.title()))
        };
        let secret = header.section == "fleet" || name.contains("key") || name.contains("secret");
        let expected = format!("a known key of [{header}]");
        let mut problem = self.problem(&header.to_string(), line, expected);
        problem.key = name.to_owned();
        problem.value = if secret { MASK } else { text }.to_owned();
        problem.hint = elsewhere().or(near);
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

/// Returns a value as a problem may show it.
pub(crate) fn shown(key: &schema::Key, text: &str) -> String {
    match key.kind.may_be_secret() && !text.is_empty() {
        true => MASK.to_owned(),
        false => text.to_owned(),
    }
}
