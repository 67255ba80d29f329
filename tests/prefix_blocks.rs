//! Prompts with a common beginning share the blocks by which the engine with the cached prefix is
//! found.

use bridgevane::modules::serve::requests::model_call::prefix_blocks;

/// Guards against prompts that continue the same conversation but share no block because the block
/// size depends on the prompt's length.
#[test]
fn prompts_of_different_lengths_with_a_common_beginning_share_blocks() {
    let history = "lesson of the pupil, scale by scale; ".repeat(400);
    for (short, long) in [(10, 300), (700, 9_000), (2_000, 2_100), (1, 40_000)] {
        let one = history.clone() + &"x".repeat(short);
        let two = history.clone() + &"y".repeat(long);
        let (blocks_one, tokens_one) = prefix_blocks(&one);
        let (blocks_two, tokens_two) = prefix_blocks(&two);
        assert!(blocks_one.len() <= 16 && blocks_two.len() <= 16);
        let shared = blocks_one
            .iter()
            .filter(|block| blocks_two.contains(block))
            .count();
        let known_tokens = shared as u32 * tokens_one.max(tokens_two);
        let history_tokens = history.len() as u32 / 4;
        // At most one block of the longer prompt is lost.
        assert!(
            known_tokens + tokens_one.max(tokens_two) > history_tokens / 2,
            "{short} {long}: {shared}"
        );
        assert!(shared > 0, "{short} {long}");
    }
}

/// Guards against prompts that are sent to an engine whose cache doesn't hold their beginning.
#[test]
fn prompts_with_different_beginnings_share_no_blocks() {
    let (one, _) = prefix_blocks(&"a first history ".repeat(300));
    let (two, _) = prefix_blocks(&"another history ".repeat(300));
    assert!(one.iter().all(|block| !two.contains(block)));
}
