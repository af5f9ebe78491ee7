use core::time;
use std::collections;
use std::net;

use crate::header;
use crate::origin;
use crate::problem;
use crate::schema;
use crate::statement;
use crate::value;

/// One merged section.
#[derive(Debug)]
pub(crate) struct Group {
    /// Header.
    pub header: header::Header,
    /// First line that starts the section; `None` when no file has it.
    pub start: Option<origin::Origin>,
    /// Values by key, with defaults. A key without a valid value is absent.
    pub values: collections::BTreeMap<&'static str, value::Value>,
    /// Text and place of the values that files give.
    pub given: collections::BTreeMap<&'static str, (String, origin::Origin)>,
}

impl Group {
    /// Returns a section that has no values yet.
    pub(crate) const fn new(header: header::Header, start: Option<origin::Origin>) -> Self {
        Self {
            header,
            start,
            values: collections::BTreeMap::new(),
            given: collections::BTreeMap::new(),
        }
    }

    /// Returns a problem with the value of a key, or with its absence.
    pub(crate) fn problem(&self, key: &str, expected: impl Into<String>) -> problem::Problem {
        let given = self.given.get(key);
        let origin = given.map(|(_, origin)| origin).or(self.start.as_ref());
        let schema = schema::section(self.header.section).and_then(|section| section.key(key));
        let value = match (given, schema) {
            (Some((text, _)), Some(key)) => statement::shown(key, text),
            (Some(_), None) => statement::MASK.to_owned(),
            (None, key) => key
                .and_then(schema::Key::default_text)
                .map(|text| format!("{text} (default)"))
                .unwrap_or_default(),
        };
        problem::Problem {
            file: origin.map(|origin| origin.file.clone()).unwrap_or_default(),
            line: origin.map_or(0, |origin| origin.line),
            section: self.header.to_string(),
            key: key.to_owned(),
            value,
            expected: expected.into(),
            hint: None,
        }
    }

    /// Returns a problem with the header.
    pub(crate) fn header_problem(&self, expected: impl Into<String>) -> problem::Problem {
        let start = self.start.as_ref();
        problem::Problem {
            file: start.map(|origin| origin.file.clone()).unwrap_or_default(),
            line: start.map_or(0, |origin| origin.line),
            section: self.header.to_string(),
            key: String::new(),
            value: String::new(),
            expected: expected.into(),
            hint: None,
        }
    }

    pub(crate) fn text(&self, key: &str) -> Option<&str> {
        match self.values.get(key)? {
            value::Value::Text(text) => Some(text),
            _ => None,
        }
    }

    pub(crate) fn texts(&self, key: &str) -> &[String] {
        match self.values.get(key) {
            Some(value::Value::Texts(texts)) => texts,
            _ => &[],
        }
    }

    pub(crate) fn address(&self, key: &str) -> Option<net::SocketAddr> {
        match self.values.get(key)? {
            value::Value::Address(address) => Some(*address),
            _ => None,
        }
    }

    pub(crate) fn addresses(&self, key: &str) -> &[net::SocketAddr] {
        match self.values.get(key) {
            Some(value::Value::Addresses(addresses)) => addresses,
            _ => &[],
        }
    }

    pub(crate) fn duration(&self, key: &str) -> Option<time::Duration> {
        match self.values.get(key)? {
            value::Value::Duration(duration) => Some(*duration),
            _ => None,
        }
    }

    pub(crate) fn integer(&self, key: &str) -> Option<u64> {
        match self.values.get(key)? {
            value::Value::Integer(integer) => Some(*integer),
            _ => None,
        }
    }

    pub(crate) fn number(&self, key: &str) -> Option<f64> {
        match self.values.get(key)? {
            value::Value::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub(crate) fn flag(&self, key: &str) -> Option<bool> {
        match self.values.get(key)? {
            value::Value::Flag(flag) => Some(*flag),
            _ => None,
        }
    }

    pub(crate) fn hashes(&self, key: &str) -> &[[u8; 32]] {
        match self.values.get(key) {
            Some(value::Value::Hashes(hashes)) => hashes,
            _ => &[],
        }
    }
}
