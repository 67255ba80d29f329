//! The answers of a stand-in engine: a function of the prompt alone.
//!
//! A test that knows the prompt can check that an answer is complete and belongs to it.

use xxhash_rust::xxh3::xxh3_64;

/// The number of characters that count as one token.
const CHARS_PER_TOKEN: u64 = 4;
/// The number of characters of a cached block: 16 tokens.
const BLOCK_CHARS: usize = 64;
/// The median answer length in tokens.
const MEDIAN_LENGTH: f64 = 40.0;
/// The standard deviation of the answer length's logarithm; lengths are heavy-tailed.
const LENGTH_SIGMA: f64 = 0.9;
/// The mark with which a prompt sets its answer's length, as in `[tokens=12]`.
const LENGTH_MARK: &str = "[tokens=";

/// The words of answers.
const WORDS: [&str; 16] = [
    "sega", "scale", "drum", "bow", "field", "hitch", "seed", "wheat", "tempo", "axle", "pupil",
    "filter", "chord", "valve", "rhythm", "plough",
];

/// Returns the number of tokens of `prompt`.
pub fn prompt_tokens(prompt: &str) -> u64 {
    (prompt.len() as u64).div_ceil(CHARS_PER_TOKEN).max(1)
}

/// Returns the hashes of the prompt's full blocks; each covers all text up to the block's end.
pub fn prompt_blocks(prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    (1..=bytes.len() / BLOCK_CHARS)
        .map(|count| xxh3_64(&bytes[..count * BLOCK_CHARS]))
        .collect()
}

/// Returns the length in tokens of the complete answer to `prompt`, before any limit.
pub fn answer_length(prompt: &str) -> u64 {
    if let Some(length) = marked_length(prompt) {
        return length;
    }
    let hash = xxh3_64(prompt.as_bytes());
    // The sum of four uniform numbers approximates a normal distribution.
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

/// Returns the text of the answer's token at `offset`.
pub fn token_text(prompt: &str, offset: u64) -> String {
    let hash = xxh3_64(prompt.as_bytes());
    let pick = hash.rotate_left((offset % 61) as u32) ^ offset.wrapping_mul(0x9e37_79b9);
    let word = WORDS[(pick % WORDS.len() as u64) as usize];
    format!("{word}{offset}-{:04x} ", hash as u16)
}
