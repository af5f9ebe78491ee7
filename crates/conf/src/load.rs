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
/// Files are merged by key in the byte order of their names, whatever their
/// order in `files`; a later file refines an earlier one. The result is a
/// function of the names and texts alone.
///
/// # Errors
///
/// Returns every problem of every file, in the order of file, line and key.
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
    Ok(outcome(&merge, digest(&sorted)))
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

fn outcome(merge: &merge::Merge, digest: [u8; 32]) -> configuration::Configuration {
    let given = || {
        let keys = |group: &group::Group| {
            let place = |key| entry::Entry::new(group.header.section, &group.header.name, key);
            let keys = group.given.iter();
            keys.map(|(key, given)| (place(*key), given.clone()))
                .collect::<Vec<_>>()
        };
        merge.given().flat_map(keys)
    };
    configuration::Configuration {
        settings: build::settings(merge),
        origins: given()
            .map(|(place, (_, origin))| (place, origin))
            .collect(),
        digest,
        texts: given().map(|(place, (text, _))| (place, text)).collect(),
        sections: merge
            .given()
            .filter(|group| group.start.is_some())
            .map(|group| (group.header.section, group.header.name.clone()))
            .collect(),
    }
}

/// Hashes names and texts with their lengths, so that moving bytes from one
/// text or name to the next changes the digest.
fn digest(sorted: &[&file::File]) -> [u8; 32] {
    let mut hash = sha2::Sha256::new();
    for part in sorted.iter().flat_map(|file| [&file.name, &file.text]) {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part.as_bytes());
    }
    hash.finalize().into()
}
