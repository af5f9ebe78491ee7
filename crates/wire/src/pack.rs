//! Standard Cap'n Proto packing of a stream of messages.
//!
//! Each word is encoded as a tag byte, whose bits state which bytes of the word are not
//! zero, followed by these bytes. The tag 0x00 is followed by the number of further zero
//! words. The tag 0xff is followed by its word, a number of words and these words
//! unencoded.

const WORD_BYTES: usize = 8;

/// Packs the whole words of `plain`, appends them to `packed` and returns the number of
/// bytes read from `plain`. A partial word at the end is not read.
pub fn pack(plain: &[u8], packed: &mut Vec<u8>) -> usize {
    let (words, rest) = plain.as_chunks::<WORD_BYTES>();
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
        let count = match packed[start] {
            0 => run_length(left, |zeros| zeros == WORD_BYTES),
            u8::MAX => run_length(left, |zeros| zeros < 2),
            _ => continue,
        };
        packed.push(count);
        let (run, after) = left.split_at(count.into());
        left = after;
        if packed[start] != 0 {
            packed.extend_from_slice(run.as_flattened());
        }
    }
    plain.len() - rest.len()
}

/// Returns the number of words at the front, at most 255, whose number of zero bytes
/// satisfies `matches`.
fn run_length(words: &[[u8; WORD_BYTES]], matches: impl Fn(usize) -> bool) -> u8 {
    let zeros = |word: &[u8; WORD_BYTES]| word.iter().filter(|&&byte| byte == 0).count();
    let run = words
        .iter()
        .take(u8::MAX.into())
        .take_while(|word| matches(zeros(word)));
    u8::try_from(run.count()).unwrap_or(u8::MAX)
}

/// Next element of a packed stream.
#[derive(Clone, Copy, Debug, Default)]
enum State {
    #[default]
    Tag,
    /// Bytes of a word with this tag, from this index on.
    Word { tag: u8, index: usize },
    /// Number of further zero words.
    Zeros,
    /// Number of unencoded words.
    Raw,
    /// Number of zero bytes still to be written.
    FillZeros(usize),
    /// Number of unencoded bytes still to be copied.
    Copy(usize),
}

/// Incremental unpacker of a packed stream. Any byte string is a valid stream or the
/// start of one.
#[derive(Debug, Default)]
pub struct Unpacker(State);

impl Unpacker {
    /// Returns whether the stream is at the end of a word, where it may end.
    pub fn is_complete(&self) -> bool {
        matches!(self.0, State::Tag)
    }

    /// Unpacks from the front of `packed` until it is empty or `plain` is full, and
    /// returns the number of bytes written. `packed` is advanced past the bytes read.
    pub fn unpack(&mut self, packed: &mut &[u8], plain: &mut [u8]) -> usize {
        let mut written = 0;
        while written < plain.len() {
            match self.0 {
                State::FillZeros(left) => {
                    let count = left.min(plain.len() - written);
                    plain[written..written + count].fill(0);
                    written += count;
                    self.0 = remaining(left - count, State::FillZeros);
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
                    self.0 = remaining(left - count, State::Copy);
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
    /// Returns the next element after `byte` of the packed stream.
    fn after(self, byte: u8) -> Self {
        match self {
            Self::Tag if byte == 0 => Self::Zeros,
            Self::Tag => Self::Word {
                tag: byte,
                index: 0,
            },
            Self::Word { tag, index } => after_byte(tag, index),
            Self::Zeros => Self::FillZeros((usize::from(byte) + 1) * WORD_BYTES),
            Self::Raw => remaining(usize::from(byte) * WORD_BYTES, Self::Copy),
            Self::FillZeros(_) | Self::Copy(_) => self,
        }
    }
}

/// Returns the next element after the byte of a word at this index.
fn after_byte(tag: u8, index: usize) -> State {
    if index + 1 < WORD_BYTES {
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

/// Returns the state for the bytes that remain of a run.
fn remaining(left: usize, state: impl Fn(usize) -> State) -> State {
    if left == 0 {
        return State::Tag;
    }
    state(left)
}
