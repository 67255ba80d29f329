//! A prompt that ends each engine that begins to run it, sent again and again to several daemons.
//!
//! The same cause as in the gateway's `crashing_requests.rs`: an attempt that broke off with its engine
//! was repeated on the next one, up to eight times a try, and nothing was remembered across tries.

mod support;

use std::time::Duration;
use support::*;

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_that_has_ended_three_engines_is_stopped() {
    let mut fleet = Fleet::start("deadly", 8, 3).await;
    let mut answers = Vec::new();
    for at in 0..6 {
        let daemon = fleet.daemons[at % 3].address;
        answers.push(chat(daemon, DEADLY, 50).await);
        // Between two tries of a caller the engines' ends have become known.
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let ended = fleet.engines.iter_mut().filter_map(Process::has_ended);
    let ended = ended.count();
    assert!(ended <= 3, "{ended} of 8 engines have ended");
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
