//! Packing of a stream of messages, as Cap'n Proto defines it.
//!
//! A tag byte says which bytes of a word are not zero and follow. After the tag
//! 0x00 comes the number of further zero words; after the tag 0xff and its word
//! come a number of words that are given as they are and those words.

/// Length of a word in bytes.
const WORD: usize = 8;

/// Packs the whole words of `plain`, appends them to `packed` and returns the
/// number of bytes taken.
pub fn pack(plain: &[u8], packed: &mut Vec<u8>) -> usize {
    let (words, rest) = plain.as_chunks::<WORD>();
    let mut left = words;
    while let Some((word, after)) = left.split_first() {
        left = after;
        let start = packed.len();
        packed.push(0);
        for (index, &byte) in word.iter().enumerate() {
            if byte != 0 {
                packed[start] |= 1 << index;
                packed.push(byte);
            }
        }
        let run = match packed[start] {
            0 => run(left, |zeros| zeros == WORD),
            u8::MAX => run(left, |zeros| zeros < 2),
            _ => continue,
        };
        packed.push(run);
        let (taken, after) = left.split_at(run.into());
        left = after;
        if packed[start] != 0 {
            packed.extend_from_slice(taken.as_flattened());
        }
    }
    plain.len() - rest.len()
}

/// Returns how many words at the front have a number of zero bytes that `fits`.
fn run(words: &[[u8; WORD]], fits: impl Fn(usize) -> bool) -> u8 {
    let zeros = |word: &[u8; WORD]| word.iter().filter(|&&byte| byte == 0).count();
    let fitting = words
        .iter()
        .take(u8::MAX.into())
        .take_while(|word| fits(zeros(word)));
    u8::try_from(fitting.count()).unwrap_or(u8::MAX)
}

/// What comes next in a packed stream.
#[derive(Clone, Copy, Debug, Default)]
enum State {
    #[default]
    Tag,
    /// Bytes of a word from this index on.
    Word { tag: u8, index: usize },
    /// Number of further zero words.
    Zeros,
    /// Number of words that are given as they are.
    Raw,
    /// Zero bytes that are still to be given out.
    GiveZeros(usize),
    /// Bytes that are still to be copied.
    Copy(usize),
}

/// Unpacks a stream piece by piece. Any bytes are a valid stream or a part of one.
#[derive(Debug, Default)]
pub struct Unpacker(State);

impl Unpacker {
    /// Tells whether the stream is at the end of a word and may end.
    pub fn is_complete(&self) -> bool {
        matches!(self.0, State::Tag)
    }

    /// Unpacks from the front of `packed` until it is used up or `plain` is
    /// full, and returns the number of bytes written.
    pub fn unpack(&mut self, packed: &mut &[u8], plain: &mut [u8]) -> usize {
        let mut written = 0;
        while written < plain.len() {
            match self.0 {
                State::GiveZeros(left) => {
                    let count = left.min(plain.len() - written);
                    plain[written..written + count].fill(0);
                    written += count;
                    self.0 = given(left - count, State::GiveZeros);
                }
                State::Copy(left) => {
                    let count = left.min(plain.len() - written).min(packed.len());
                    if count == 0 {
                        return written;
                    }
                    let (bytes, rest) = packed.split_at(count);
                    *packed = rest;
                    plain[written..written + count].copy_from_slice(bytes);
                    written += count;
                    self.0 = given(left - count, State::Copy);
                }
                State::Word { tag, index } if tag & (1 << index) == 0 => {
                    plain[written] = 0;
                    written += 1;
                    self.0 = after_byte(tag, index);
                }
                State::Tag | State::Word { .. } | State::Zeros | State::Raw => {
                    let Some((&byte, rest)) = packed.split_first() else {
                        return written;
                    };
                    *packed = rest;
                    if let State::Word { .. } = self.0 {
                        plain[written] = byte;
                        written += 1;
                    }
                    self.0 = self.0.after(byte);
                }
            }
        }
        written
    }
}

impl State {
    /// Returns what comes after a byte of the packed stream.
    fn after(self, byte: u8) -> Self {
        match self {
            Self::Tag if byte == 0 => Self::Zeros,
            Self::Tag => Self::Word {
                tag: byte,
                index: 0,
            },
            Self::Word { tag, index } => after_byte(tag, index),
            Self::Zeros => Self::GiveZeros((usize::from(byte) + 1) * WORD),
            Self::Raw => given(usize::from(byte) * WORD, Self::Copy),
            Self::GiveZeros(_) | Self::Copy(_) => self,
        }
    }
}

/// Returns what comes after the byte of a word at this index.
fn after_byte(tag: u8, index: usize) -> State {
    if index + 1 < WORD {
        return State::Word {
            tag,
            index: index + 1,
        };
    }
    if tag == u8::MAX {
        return State::Raw;
    }
    State::Tag
}

/// Returns the state for the bytes that are left of a run.
fn given(left: usize, state: impl Fn(usize) -> State) -> State {
    if left == 0 {
        return State::Tag;
    }
    state(left)
}
