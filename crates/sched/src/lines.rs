use std::collections;

/// Ordered sets, one for each line in which something waits.
///
/// A line is one lane of one class. Few lines are occupied at a time, so they
/// are found by a scan. A single item is kept without a set, because most
/// callers have one request in the queue.
#[derive(Debug)]
pub(crate) struct Lines<K> {
    /// The only item, while `sets` is empty.
    one: Option<(u32, K)>,
    sets: Vec<(u32, collections::BTreeSet<K>)>,
}

impl<K: Copy + Ord> Lines<K> {
    pub(crate) const fn new() -> Self {
        Self {
            one: None,
            sets: Vec::new(),
        }
    }

    /// Adds an item and returns whether the line was empty.
    pub(crate) fn insert(&mut self, line: u32, item: K) -> bool {
        if self.one.is_none() && self.sets.is_empty() {
            self.one = Some((line, item));
            return true;
        }
        if let Some((line, item)) = self.one.take() {
            self.add(line, item);
        }
        self.add(line, item)
    }

    fn add(&mut self, line: u32, item: K) -> bool {
        match self.sets.iter_mut().find(|(index, _)| *index == line) {
            Some((_, set)) => {
                set.insert(item);
                false
            }
            None => {
                let set = collections::BTreeSet::from([item]);
                self.sets.push((line, set));
                true
            }
        }
    }

    /// Removes an item and returns whether the line is now empty.
    pub(crate) fn remove(&mut self, line: u32, item: K) -> bool {
        if self.one == Some((line, item)) {
            self.one = None;
            return true;
        }
        let Some(at) = self.sets.iter().position(|(index, _)| *index == line) else {
            return false;
        };
        self.sets[at].1.remove(&item);
        let empty = self.sets[at].1.is_empty();
        if empty {
            self.sets.swap_remove(at);
        }
        empty
    }

    /// Replaces an item of one line.
    pub(crate) fn replace(&mut self, line: u32, old: K, new: K) {
        if self.one == Some((line, old)) {
            self.one = Some((line, new));
        } else if let Some((_, set)) = self.sets.iter_mut().find(|(index, _)| *index == line) {
            set.remove(&old);
            set.insert(new);
        }
    }

    pub(crate) fn first(&self, line: u32) -> Option<K> {
        if let Some((index, item)) = self.one {
            return (index == line).then_some(item);
        }
        let (_, set) = self.sets.iter().find(|(index, _)| *index == line)?;
        set.first().copied()
    }

    pub(crate) fn occupied(&self) -> impl Iterator<Item = u32> {
        let one = self.one.iter().map(|(index, _)| *index);
        one.chain(self.sets.iter().map(|(index, _)| *index))
    }
}
