use std::collections;

/// Item of a line, with a value that sorts before all others.
pub(crate) trait Item: Copy + Ord {
    /// Sorts before every item that is inserted.
    fn least() -> Self;
}

/// Ordered items of several lines, sorted by line first.
///
/// A line is one lane of one class. A single item is kept without a set,
/// because most callers have one request in the queue.
#[derive(Debug)]
pub(crate) struct Lines<K> {
    /// The only item, while `set` is empty.
    one: Option<(u32, K)>,
    set: collections::BTreeSet<(u32, K)>,
}

impl<K: Item> Lines<K> {
    pub(crate) const fn new() -> Self {
        Self {
            one: None,
            set: collections::BTreeSet::new(),
        }
    }

    /// Adds an item and returns whether the line was empty.
    pub(crate) fn insert(&mut self, line: u32, item: K) -> bool {
        if self.one.is_none() && self.set.is_empty() {
            self.one = Some((line, item));
            return true;
        }
        let empty = self.first(line).is_none();
        self.set.extend(self.one.take());
        self.set.insert((line, item));
        empty
    }

    /// Removes an item and returns whether the line is now empty.
    pub(crate) fn remove(&mut self, line: u32, item: K) -> bool {
        if self.one == Some((line, item)) {
            self.one = None;
            return true;
        }
        self.set.remove(&(line, item)) && self.first(line).is_none()
    }

    /// Replaces an item of one line.
    pub(crate) fn replace(&mut self, line: u32, old: K, new: K) {
        if self.one == Some((line, old)) {
            self.one = Some((line, new));
        } else if self.set.remove(&(line, old)) {
            self.set.insert((line, new));
        }
    }

    pub(crate) fn first(&self, line: u32) -> Option<K> {
        if let Some((index, item)) = self.one {
            return (index == line).then_some(item);
        }
        let &(index, item) = self.set.range((line, K::least())..).next()?;
        (index == line).then_some(item)
    }

    /// Returns the lines that hold items, in order.
    pub(crate) fn occupied(&self) -> impl Iterator<Item = u32> {
        let mut from = Some(0);
        core::iter::from_fn(move || {
            let start = from?;
            let line = match self.one {
                Some((line, _)) => Some(line).filter(|&line| line >= start),
                None => self
                    .set
                    .range((start, K::least())..)
                    .next()
                    .map(|&(line, _)| line),
            };
            from = line.map(|line| line + 1);
            line
        })
    }
}
