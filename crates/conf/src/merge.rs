use std::collections;

use crate::file;
use crate::group;
use crate::header;
use crate::origin;
use crate::problem;
use crate::schema;
use crate::statement;

/// Sections merged from all files, with defaults.
#[derive(Debug)]
pub(crate) struct Merge {
    groups: collections::BTreeMap<header::Header, group::Group>,
    empty: group::Group,
}

impl Merge {
    /// Merges files and appends invalid values to `problems`. A later file overrides
    /// an earlier one, so the files must be sorted by name.
    pub(crate) fn new<'a>(
        files: impl IntoIterator<Item = &'a file::File>,
        problems: &mut Vec<problem::Problem>,
    ) -> Self {
        let mut merge = Self {
            groups: unnamed_sections(),
            empty: group::Group::new(header::Header::plain(""), None),
        };
        for file in files {
            for statement in statement::parse(file, problems) {
                merge.add(file, statement, problems);
            }
        }
        merge.add_defaults(problems);
        merge
    }

    /// Returns the sections of one kind, sorted by name.
    pub(crate) fn all(&self, section: &str) -> impl Iterator<Item = &group::Group> {
        self.groups
            .values()
            .filter(move |group| group.header.section == section)
    }

    /// Returns the section of a kind that has no names; an empty one if the schema
    /// has no such kind.
    pub(crate) fn one(&self, section: &'static str) -> &group::Group {
        let header = header::Header::plain(section);
        self.groups.get(&header).unwrap_or(&self.empty)
    }

    /// Returns the section of this kind and name.
    pub(crate) fn named(&self, section: &'static str, name: &str) -> Option<&group::Group> {
        let name = name.to_owned();
        self.groups.get(&header::Header { section, name })
    }

    /// Returns every section: those that a file has, and those without a name, which
    /// always exist.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &group::Group> {
        self.groups.values()
    }

    fn add(
        &mut self,
        file: &file::File,
        statement: statement::Statement<'_>,
        problems: &mut Vec<problem::Problem>,
    ) {
        let origin = |line| origin::Origin {
            file: file.name.clone(),
            line,
        };
        match statement {
            statement::Statement::Section { header, line } => {
                self.group(header).start.get_or_insert_with(|| origin(line));
            }
            statement::Statement::Value {
                header,
                key,
                text,
                line,
            } => {
                let group = self.group(header);
                set(group, key, text, origin(line), problems);
            }
        }
    }

    fn group(&mut self, header: header::Header) -> &mut group::Group {
        self.groups
            .entry(header.clone())
            .or_insert_with(|| group::Group::new(header, None))
    }

    /// Adds defaults and reports missing required keys.
    fn add_defaults(&mut self, problems: &mut Vec<problem::Problem>) {
        for group in self.groups.values_mut() {
            let keys = schema::section(group.header.section).map_or(&[][..], |s| s.keys);
            for key in keys
                .iter()
                .filter(|key| !group.explicit.contains_key(key.name))
            {
                match key.presence {
                    schema::Presence::Optional => {}
                    schema::Presence::Required => {
                        problems.push(group.problem(key.name, key.kind.expected()));
                    }
                    schema::Presence::Default(text) => {
                        let value = key.kind.parse(text);
                        group.values.extend(value.map(|value| (key.name, value)));
                    }
                }
            }
        }
    }
}

/// Sets a value. An invalid value is reported even if a later file overrides it,
/// because it would take effect once that file is removed.
fn set(
    group: &mut group::Group,
    key: &'static schema::Key,
    text: &str,
    origin: origin::Origin,
    problems: &mut Vec<problem::Problem>,
) {
    group.explicit.insert(key.name, (text.to_owned(), origin));
    group.values.remove(key.name);
    if text.is_empty() && key.presence == schema::Presence::Optional {
        return;
    }
    match key.kind.parse(text) {
        Some(value) => {
            group.values.insert(key.name, value);
        }
        None => problems.push(invalid_value(group, key, text)),
    }
}

fn invalid_value(group: &group::Group, key: &schema::Key, text: &str) -> problem::Problem {
    let mut problem = group.problem(key.name, key.kind.expected());
    if let schema::Kind::Choice(words) = key.kind {
        problem.hint = crate::hint::nearest(text, words.iter().copied());
    }
    problem
}

/// Returns the sections without a name, which exist even if no file has them.
fn unnamed_sections() -> collections::BTreeMap<header::Header, group::Group> {
    schema::SECTIONS
        .into_iter()
        .filter(|section| section.naming == schema::Naming::None)
        .map(|section| header::Header::plain(section.name))
        .map(|header| (header.clone(), group::Group::new(header, None)))
        .collect()
}
