use std::collections;

/// Maps names to small numbers.
///
/// A number is never reused, so it stays valid when the settings change.
#[derive(Debug, Default)]
pub(crate) struct Interner {
    numbers: collections::HashMap<String, u32>,
    names: Vec<String>,
}

impl Interner {
    /// Returns the number of a name, which is assigned on the first call.
    pub(crate) fn intern(&mut self, name: &str) -> u32 {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = self.names.len() as u32;
        self.names.push(name.to_owned());
        self.numbers.insert(name.to_owned(), number);
        number
    }

    /// Returns the number of a name, or `None` if none was assigned.
    pub(crate) fn get(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }
}
