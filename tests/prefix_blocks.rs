//! Prompts that share their beginning share the blocks by which caches are found.

use bridgevane::modules::serve::requests::model_call::prefix_blocks;

#[test]
fn prompts_of_unlike_lengths_with_one_beginning_share_blocks() {
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
        // At most one step of the longer prompt's blocks is lost.
        assert!(
            known_tokens + tokens_one.max(tokens_two) > history_tokens / 2,
            "{short} {long}: {shared}"
        );
        assert!(shared > 0, "{short} {long}");
    }
}

#[test]
fn other_beginnings_share_none() {
    let (one, _) = prefix_blocks(&"a first history ".repeat(300));
    let (two, _) = prefix_blocks(&"another history ".repeat(300));
    assert!(one.iter().all(|block| !two.contains(block)));
}
