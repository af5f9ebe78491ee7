use std::collections;
use std::hash;
use std::hash::Hash as _;
use std::hash::Hasher as _;

/// Prompt bytes per token.
pub(crate) const TOKEN_BYTES: usize = 4;
/// Tokens per block.
const BLOCK_TOKENS: usize = 16;

/// Prefix cache: blocks of prompts by the hash of everything up to their end.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    max: usize,
    clock: u64,
    blocks: collections::HashMap<u64, u64>,
    ages: collections::BTreeMap<u64, u64>,
}

impl Cache {
    pub(crate) fn new(max: usize) -> Self {
        Self {
            max,
            ..Self::default()
        }
    }

    /// Stores the blocks of a prompt and returns how many leading tokens were present.
    pub(crate) fn visit(&mut self, prompt: &str) -> u32 {
        let mut hasher = hash::DefaultHasher::new();
        let mut present = 0;
        let mut leading = true;
        for block in prompt
            .as_bytes()
            .chunks_exact(BLOCK_TOKENS * TOKEN_BYTES)
            .take(self.max)
        {
            block.hash(&mut hasher);
            leading &= self.touch(hasher.finish());
            present += u32::from(leading);
        }
        present * BLOCK_TOKENS as u32
    }

    fn touch(&mut self, block: u64) -> bool {
        self.clock += 1;
        let old = self.blocks.insert(block, self.clock);
        if let Some(age) = old {
            self.ages.remove(&age);
        }
        self.ages.insert(self.clock, block);
        if self.blocks.len() > self.max
            && let Some((_, oldest)) = self.ages.pop_first()
        {
            self.blocks.remove(&oldest);
        }
        old.is_some()
    }
}
