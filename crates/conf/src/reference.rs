use core::fmt;

use crate::schema;

/// Introduction of the page, before the sections.
const HEAD: &str = "\
# Settings

This page is generated from the schema table of the crate `conf`:

```sh
cargo run -p conf --example reference > docs/operate/settings.md
```

Settings are a folder of INI files (`*.ini`). The files are merged key by key in the byte order of their names; a later file overrides an earlier one. `carobbay check DIR` prints every problem with file, line, section, key, value and what was expected.

- A section header starts in the first column and ends its line: `[class status]`.
- A key may occur once per section and file. An unknown section or key is a problem.
- `;` and `#` start a comment at the start of a line. A comment after a value is a part of the value.
- Durations are whole numbers with the unit `us`, `ms`, `s`, `m`, `h` or `d`. Sizes are whole numbers with the unit `B`, `KiB`, `MiB` or `GiB`.
- Lists are separated by commas.
- An empty value turns an optional key off or empties its list, so that a later file can unset the value of an earlier one.
- The hash of a bearer key is its SHA-256 in hexadecimal: `printf %s KEY | sha256sum`.
";

/// End of the page: checks that involve several values.
const TAIL: &str = "
## Checks across values

- Every name of a class or pool in a value has its section.
- There are 1 to 256 classes, and the floors of the classes of one tier sum to less than 1.
- `target_first` is at most `deadline`.
- Outside of tier 0, `floor` is above 0 and `starvation_window` is shorter than `deadline`.
- A bearer key belongs to one team.
- A pool whose `class` is not idempotent is not `idempotent = true`.
- The endpoints of one pool have different addresses.
- `lease` and `clock_skew` are shorter than `resend_max_age`.
- `owners` and `previous_owners` have at most 15 names each and repeat none; `previous_owners` needs `owners`.
- `seeds` or several `owners` need `peer_keys`.
- `certificate` and `key` are given together.
- The listeners of a host have different addresses.
";

/// Renders the settings reference in Markdown, as in `docs/operate/settings.md`.
pub fn reference() -> String {
    let mut out = HEAD.to_owned();
    // Writing to a string cannot fail.
    let _ = write(&mut out);
    out.push_str(TAIL);
    out
}

fn write(out: &mut impl fmt::Write) -> fmt::Result {
    for section in schema::SECTIONS {
        writeln!(out, "\n## `{}`\n\n{}", section.title(), section.doc)?;
        if section.naming != schema::Naming::None {
            writeln!(out, "\nNAME is {}.", section.naming.expected())?;
        }
        writeln!(
            out,
            "\n| key | value | default | meaning |\n|---|---|---|---|"
        )?;
        for key in section.keys {
            row(out, key)?;
        }
    }
    Ok(())
}

fn row(out: &mut impl fmt::Write, key: &schema::Key) -> fmt::Result {
    let default = match key.presence {
        schema::Presence::Required => "required".to_owned(),
        schema::Presence::Optional => "none".to_owned(),
        schema::Presence::Default(text) => format!("`{text}`"),
    };
    let expected = key.kind.expected();
    writeln!(
        out,
        "| `{}` | {expected} | {default} | {} |",
        key.name, key.doc
    )
}
