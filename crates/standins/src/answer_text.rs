//! What a stand-in engine answers: a function of the prompt alone.
//!
//! Whoever knows the prompt can tell whether an answer is whole and its own.

use xxhash_rust::xxh3::xxh3_64;

/// Characters that count as one token.
const CHARS_PER_TOKEN: u64 = 4;
/// Characters of one cached block: 16 tokens.
const BLOCK_CHARS: usize = 64;
/// Median answer length in tokens.
const MEDIAN_LENGTH: f64 = 40.0;
/// Spread of the answer length on a logarithmic scale; heavy-tailed.
const LENGTH_SIGMA: f64 = 0.9;
/// A prompt may fix its answer's length by this mark, as in `[tokens=12]`.
const LENGTH_MARK: &str = "[tokens=";

/// Words that answers are made of.
const WORDS: [&str; 16] = [
    "sega", "scale", "drum", "bow", "field", "hitch", "seed", "wheat", "tempo", "axle", "pupil",
    "filter", "chord", "valve", "rhythm", "plough",
];

/// Tokens of `prompt`.
pub fn prompt_tokens(prompt: &str) -> u64 {
    (prompt.len() as u64).div_ceil(CHARS_PER_TOKEN).max(1)
}

/// Hashes of the prompt's whole blocks, each covering all text up to its end.
pub fn prompt_blocks(prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    (1..=bytes.len() / BLOCK_CHARS)
        .map(|count| xxh3_64(&bytes[..count * BLOCK_CHARS]))
        .collect()
}

/// The length of the whole answer to `prompt`, before any limit.
pub fn answer_length(prompt: &str) -> u64 {
    if let Some(length) = marked_length(prompt) {
        return length;
    }
    let hash = xxh3_64(prompt.as_bytes());
    // Sum of four uniform numbers: close enough to a normal one for a stand-in.
    let sum: f64 = (0..4)
        .map(|part| f64::from((hash >> (part * 16)) as u16) / f64::from(u16::MAX))
        .sum();
    let normal = (sum - 2.0) * 1.732;
    (MEDIAN_LENGTH * (LENGTH_SIGMA * normal).exp()).ceil() as u64
}

fn marked_length(prompt: &str) -> Option<u64> {
    let (_, rest) = prompt.rsplit_once(LENGTH_MARK)?;
    let (digits, _) = rest.split_once(']')?;
    digits.parse().ok()
}

/// The text of the answer's token at `offset`.
pub fn token_text(prompt: &str, offset: u64) -> String {
    let hash = xxh3_64(prompt.as_bytes());
    let pick = hash.rotate_left((offset % 61) as u32) ^ offset.wrapping_mul(0x9e37_79b9);
    let word = WORDS[(pick % WORDS.len() as u64) as usize];
    format!("{word}{offset}-{:04x} ", hash as u16)
}
