/// Upper bound of a name in characters.
const NAME_MAX: usize = 64;

/// Form of the name after the section in a header.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Naming {
    /// The section has no name and exists once.
    None,
    /// Letters, digits, `.`, `_` and `-`, starting with a letter or digit.
    Plain,
    /// Like [`Naming::Plain`] with `/` and `:`, which occur in names of models.
    Model,
}

impl Naming {
    /// Returns whether a name has this form.
    pub fn accepts(self, name: &str) -> bool {
        let starts = name.starts_with(|first: char| first.is_ascii_alphanumeric());
        match self {
            Self::None => name.is_empty(),
            _ => starts && name.len() <= NAME_MAX && name.chars().all(|c| self.allows(c)),
        }
    }

    /// Describes the form.
    pub fn expected(self) -> String {
        let extra = match self {
            Self::None => return "no name".to_owned(),
            Self::Plain => "`.`, `_`, `-`",
            Self::Model => "`.`, `_`, `-`, `/`, `:`",
        };
        format!(
            "a name of 1 to {NAME_MAX} letters, digits or {extra} that starts with a letter or digit"
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
