use core::time;
use std::collections;
use std::net;

use crate::header;
use crate::origin;
use crate::problem;
use crate::schema;
use crate::statement;
use crate::value;

/// One section, merged from all files.
#[derive(Debug)]
pub(crate) struct Group {
    /// Section and name that identify the group.
    pub header: header::Header,
    /// First header of the section; `None` if no file has it.
    pub start: Option<origin::Origin>,
    /// Valid values by key, including defaults.
    pub values: collections::BTreeMap<&'static str, value::Value>,
    /// Text and origin of the values that files set, valid or not.
    pub explicit: collections::BTreeMap<&'static str, (String, origin::Origin)>,
}

impl Group {
    /// Returns a section without values.
    pub(crate) const fn new(header: header::Header, start: Option<origin::Origin>) -> Self {
        Self {
            header,
            start,
            values: collections::BTreeMap::new(),
            explicit: collections::BTreeMap::new(),
        }
    }

    /// Returns a problem with the value of a key or with its absence. An absent
    /// value is reported at the header of the section.
    pub(crate) fn problem(&self, key: &str, expected: impl Into<String>) -> problem::Problem {
        let explicit = self.explicit.get(key);
        let origin = explicit.map(|(_, origin)| origin).or(self.start.as_ref());
        let schema = schema::section(self.header.section).and_then(|section| section.key(key));
        let value = match (explicit, schema) {
            (Some((text, _)), Some(key)) => statement::display_text(key, text),
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

    /// Returns a problem with the header of the section.
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
