use rand::seq::SliceRandom;

/// Draws names in random order, each once before any is repeated.
///
/// With independent draws a host would occasionally receive no digest for several
/// seconds and declare all others dead.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rotation {
    names: Vec<String>,
}

impl Rotation {
    /// Draws up to `count` different names from `known`.
    pub(crate) fn draw(
        &mut self,
        rng: &mut impl rand::Rng,
        known: &[&str],
        count: usize,
    ) -> Vec<String> {
        let mut drawn: Vec<String> = Vec::new();
        let count = count.min(known.len());
        while drawn.len() < count {
            let Some(name) = self.names.pop() else {
                self.shuffle(rng, known, &drawn);
                continue;
            };
            if known.contains(&name.as_str()) && !drawn.contains(&name) {
                drawn.push(name);
            }
        }
        drawn
    }

    /// Starts a new round with all names except those just drawn.
    fn shuffle(&mut self, rng: &mut impl rand::Rng, known: &[&str], drawn: &[String]) {
        self.names = known
            .iter()
            .filter(|name| !drawn.iter().any(|drawn| drawn == *name))
            .map(|&name| name.to_owned())
            .collect();
        self.names.shuffle(rng);
    }
}
