use std::collections;
use std::hash;
use std::hash::Hash as _;
use std::hash::Hasher as _;

/// Prompt bytes per token.
pub(crate) const TOKEN_BYTES: usize = 4;
/// Tokens per block.
const BLOCK_TOKENS: usize = 16;

/// Prefix cache with least-recently-used eviction. A block is identified by the hash of the
/// prompt up to the end of the block.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    max_blocks: usize,
    /// Number of accesses so far.
    clock: u64,
    /// Last access of each block.
    blocks: collections::HashMap<u64, u64>,
    /// Blocks by last access.
    accesses: collections::BTreeMap<u64, u64>,
}

impl Cache {
    pub(crate) fn new(max_blocks: usize) -> Self {
        Self {
            max_blocks,
            ..Self::default()
        }
    }

    /// Inserts the blocks of a prompt and returns how many leading tokens were already cached.
    pub(crate) fn insert_prompt(&mut self, prompt: &str) -> u32 {
        let mut hasher = hash::DefaultHasher::new();
        let mut cached_blocks = 0;
        let mut is_leading = true;
        for block in prompt
            .as_bytes()
            .chunks_exact(BLOCK_TOKENS * TOKEN_BYTES)
            .take(self.max_blocks)
        {
            block.hash(&mut hasher);
            is_leading &= self.touch(hasher.finish());
            cached_blocks += u32::from(is_leading);
        }
        cached_blocks * BLOCK_TOKENS as u32
    }

    /// Marks a block as used and returns whether it was cached.
    fn touch(&mut self, block: u64) -> bool {
        self.clock += 1;
        let previous = self.blocks.insert(block, self.clock);
        if let Some(access) = previous {
            self.accesses.remove(&access);
        }
        self.accesses.insert(self.clock, block);
        if self.blocks.len() > self.max_blocks
            && let Some((_, oldest)) = self.accesses.pop_first()
        {
            self.blocks.remove(&oldest);
        }
        previous.is_some()
    }
}
