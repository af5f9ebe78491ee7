use rand::seq::SliceRandom;

/// Deals names in random order, each once before any comes again.
///
/// With independent draws a host would now and then receive no digest for
/// several seconds and take all others for dead.
#[derive(Clone, Debug, Default)]
pub(crate) struct Deck {
    names: Vec<String>,
}

impl Deck {
    /// Deals up to `count` different names out of `known`.
    pub(crate) fn deal(
        &mut self,
        rng: &mut impl rand::Rng,
        known: &[&str],
        count: usize,
    ) -> Vec<String> {
        let mut dealt: Vec<String> = Vec::new();
        let count = count.min(known.len());
        while dealt.len() < count {
            let Some(name) = self.names.pop() else {
                self.shuffle(rng, known, &dealt);
                continue;
            };
            if known.contains(&name.as_str()) && !dealt.contains(&name) {
                dealt.push(name);
            }
        }
        dealt
    }

    /// Starts again with all names but those that were just dealt.
    fn shuffle(&mut self, rng: &mut impl rand::Rng, known: &[&str], dealt: &[String]) {
        self.names = known
            .iter()
            .filter(|name| !dealt.iter().any(|dealt| dealt == *name))
            .map(|&name| name.to_owned())
            .collect();
        self.names.shuffle(rng);
    }
}
