//! Settings reference and settings folder.

use std::path;

/// Guards against a settings reference that does not match the schema.
#[test]
fn page_equals_generated_text() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = std::fs::read_to_string(root.join("docs/operate/settings.md")).unwrap();
    assert!(
        page == conf::reference(),
        "run the command at the top of docs/operate/settings.md"
    );
}

/// Guards against a folder error without the path that it concerns, and against
/// reading files other than settings.
#[test]
fn folder_reads_settings_files_only() {
    let folder = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests");
    let files = conf::folder::read(&folder).unwrap();
    let names: Vec<_> = files.iter().map(|file| file.name.as_str()).collect();
    assert_eq!(names, ["full.ini", "small.ini"]);
    let missing = conf::folder::read(&folder.join("missing")).unwrap_err();
    assert!(missing.to_string().contains("tests/missing"), "{missing}");
    let empty = conf::folder::read(&folder.join("../src")).unwrap_err();
    assert!(matches!(empty, conf::folder::Error::Empty(_)), "{empty}");
}
