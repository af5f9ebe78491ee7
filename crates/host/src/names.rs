use std::collections;

/// Gives each name a small number that keeps its meaning for the process
/// lifetime, whatever the settings do.
#[derive(Debug, Default)]
pub(crate) struct Interner {
    numbers: collections::HashMap<String, u32>,
    names: Vec<String>,
}

impl Interner {
    /// Returns the number of a name, giving it one if it has none.
    pub(crate) fn intern(&mut self, name: &str) -> u32 {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = self.names.len() as u32;
        self.names.push(name.to_owned());
        self.numbers.insert(name.to_owned(), number);
        number
    }

    /// Returns the number of a name that has one.
    pub(crate) fn get(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }
}
