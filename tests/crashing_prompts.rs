//! A prompt that crashes every engine that begins to run it, sent repeatedly to several daemons.
//!
//! Guards against one prompt that crashes all engines. As in the gateway's `crashing_requests.rs`,
//! an attempt whose engine crashed was repeated on the next engine, up to eight times per request,
//! and no daemon remembered the prompt when a client sent it again.

mod support;

use std::time::Duration;
use support::*;

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_that_crashed_three_engines_is_refused() {
    let mut fleet = Fleet::start("deadly", 8, 3).await;
    let mut answers = Vec::new();
    for at in 0..6 {
        let daemon = fleet.daemons[at % 3].address;
        answers.push(chat(daemon, CRASHING_PROMPT, 50).await);
        // Every daemon gets to know of the crashes before the caller's next try.
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let ended = fleet.engines.iter_mut().filter_map(Process::exit_status);
    let ended = ended.count();
    assert!(ended <= 3, "{ended} of 8 engines have crashed");
    for answer in answers {
        assert_eq!(answer.status, 502, "{}", answer.text);
        assert_eq!(answer.header("x-should-retry"), "false");
    }
    let prompt = "Another question. [tokens=4]";
    for daemon in &fleet.daemons {
        let answer = chat(daemon.address, prompt, 50).await;
        assert_eq!(answer.streamed_text(), expected_text(prompt));
    }
}
