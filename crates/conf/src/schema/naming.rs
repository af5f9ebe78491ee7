/// Maximum length of a name in characters, which are ASCII.
const NAME_CHARS_MAX: usize = 64;

/// Form of the name that follows the section in a header.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Naming {
    /// The section has no name and exists once.
    None,
    /// 1 to 64 ASCII letters, digits, `.`, `_` and `-`; the first is a letter or digit.
    Plain,
    /// Like [`Naming::Plain`] with `/` and `:`, which model names contain.
    Model,
}

impl Naming {
    /// Returns whether a name has this form.
    pub fn accepts(self, name: &str) -> bool {
        let has_valid_start = name.starts_with(|first: char| first.is_ascii_alphanumeric());
        match self {
            Self::None => name.is_empty(),
            _ => {
                has_valid_start
                    && name.len() <= NAME_CHARS_MAX
                    && name.chars().all(|c| self.allows(c))
            }
        }
    }

    /// Describes the form as a noun phrase for problems and the settings reference.
    pub fn expected(self) -> String {
        let extra = match self {
            Self::None => return "no name".to_owned(),
            Self::Plain => "`.`, `_`, `-`",
            Self::Model => "`.`, `_`, `-`, `/`, `:`",
        };
        format!(
            "a name of 1 to {NAME_CHARS_MAX} letters, digits or {extra} that starts with a letter or digit"
        )
    }

    const fn allows(self, c: char) -> bool {
        match c {
            '.' | '_' | '-' => true,
            '/' | ':' => matches!(self, Self::Model),
            _ => c.is_ascii_alphanumeric(),
        }
    }
}
