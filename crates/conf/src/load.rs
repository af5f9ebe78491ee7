use sha2::Digest as _;

use crate::build;
use crate::check;
use crate::configuration;
use crate::entry;
use crate::file;
use crate::group;
use crate::merge;
use crate::problem;

/// Parses, merges and checks settings files.
///
/// Files are merged key by key in the byte order of their names, independent of
/// their order in `files`; a later file overrides an earlier one. The result
/// depends only on the names and texts.
///
/// # Errors
///
/// Returns every problem of every file, sorted by file, line, section and key.
pub fn load(files: &[file::File]) -> Result<configuration::Configuration, Vec<problem::Problem>> {
    let mut sorted: Vec<&file::File> = files.iter().collect();
    sorted.sort_unstable();
    let mut problems = Vec::new();
    repeated_names(&sorted, &mut problems);
    let merge = merge::Merge::new(sorted.iter().copied(), &mut problems);
    check::run(&merge, &mut problems);
    if !problems.is_empty() {
        problems.sort();
        problems.dedup();
        return Err(problems);
    }
    Ok(configuration(&merge, digest(&sorted)))
}

fn repeated_names(sorted: &[&file::File], problems: &mut Vec<problem::Problem>) {
    let pairs = sorted
        .windows(2)
        .filter(|pair| pair[0].name == pair[1].name);
    problems.extend(pairs.map(|pair| problem::Problem {
        file: pair[0].name.clone(),
        line: 0,
        section: String::new(),
        key: String::new(),
        value: String::new(),
        expected: "one file of this name".to_owned(),
        hint: None,
    }));
}

fn configuration(merge: &merge::Merge, digest: [u8; 32]) -> configuration::Configuration {
    let explicit = || {
        let keys = |group: &group::Group| {
            let entry = |key| entry::Entry::new(group.header.section, &group.header.name, key);
            let keys = group.explicit.iter();
            keys.map(|(key, explicit)| (entry(*key), explicit.clone()))
                .collect::<Vec<_>>()
        };
        merge.iter().flat_map(keys)
    };
    configuration::Configuration {
        settings: build::settings(merge),
        origins: explicit()
            .map(|(entry, (_, origin))| (entry, origin))
            .collect(),
        digest,
        texts: explicit().map(|(entry, (text, _))| (entry, text)).collect(),
        sections: merge
            .iter()
            .filter(|group| group.start.is_some())
            .map(|group| (group.header.section, group.header.name.clone()))
            .collect(),
    }
}

/// Returns the SHA-256 over names and texts. Each is preceded by its length, so
/// that moving bytes from one to the next changes the digest.
fn digest(sorted: &[&file::File]) -> [u8; 32] {
    let mut hash = sha2::Sha256::new();
    for part in sorted.iter().flat_map(|file| [&file.name, &file.text]) {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part.as_bytes());
    }
    hash.finalize().into()
}
