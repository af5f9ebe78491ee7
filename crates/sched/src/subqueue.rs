use std::collections;

/// Item of a subqueue, with a value that sorts before all others.
pub(crate) trait Item: Copy + Ord {
    /// Returns a value that sorts before every inserted item.
    fn least() -> Self;
}

/// Ordered items of several subqueues, sorted by subqueue first.
///
/// A subqueue holds the jobs of one lane of one class, before or past their
/// target. A single item is stored inline, because most callers have one
/// request in the queue.
#[derive(Debug)]
pub(crate) struct Set<K> {
    /// The only item, used only while `set` is empty.
    single: Option<(u32, K)>,
    set: collections::BTreeSet<(u32, K)>,
}

impl<K: Item> Set<K> {
    pub(crate) const fn new() -> Self {
        Self {
            single: None,
            set: collections::BTreeSet::new(),
        }
    }

    /// Adds an item and returns whether the subqueue was empty.
    pub(crate) fn insert(&mut self, subqueue: u32, item: K) -> bool {
        if self.single.is_none() && self.set.is_empty() {
            self.single = Some((subqueue, item));
            return true;
        }
        let was_empty = self.first(subqueue).is_none();
        self.set.extend(self.single.take());
        self.set.insert((subqueue, item));
        was_empty
    }

    /// Removes an item and returns whether the subqueue is now empty.
    pub(crate) fn remove(&mut self, subqueue: u32, item: K) -> bool {
        if self.single == Some((subqueue, item)) {
            self.single = None;
            return true;
        }
        self.set.remove(&(subqueue, item)) && self.first(subqueue).is_none()
    }

    /// Replaces an item of one subqueue, if it is present.
    pub(crate) fn replace(&mut self, subqueue: u32, old: K, new: K) {
        if self.single == Some((subqueue, old)) {
            self.single = Some((subqueue, new));
        } else if self.set.remove(&(subqueue, old)) {
            self.set.insert((subqueue, new));
        }
    }

    pub(crate) fn first(&self, subqueue: u32) -> Option<K> {
        if let Some((index, item)) = self.single {
            return (index == subqueue).then_some(item);
        }
        let &(index, item) = self.set.range((subqueue, K::least())..).next()?;
        (index == subqueue).then_some(item)
    }

    /// Returns the subqueues that hold items, in ascending order.
    pub(crate) fn occupied(&self) -> impl Iterator<Item = u32> {
        let mut from = Some(0);
        core::iter::from_fn(move || {
            let start = from?;
            let subqueue = match self.single {
                Some((subqueue, _)) => Some(subqueue).filter(|&subqueue| subqueue >= start),
                None => self
                    .set
                    .range((start, K::least())..)
                    .next()
                    .map(|&(subqueue, _)| subqueue),
            };
            from = subqueue.map(|subqueue| subqueue + 1);
            subqueue
        })
    }
}
