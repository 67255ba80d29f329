//! Every way by which a daemon sends a request, by everything that an endpoint may ask for in its answers.
//!
//! A way or a signal that is added gets its row or column here.

mod support;

use bridgevane_gateway::Repeatability::{AtMostOnce, Idempotent};
use support::client::{Client, request};
use support::endpoint::{Act, Endpoint, answer, chunk, event, last_chunk, stream_head};
use support::source::{KEY, ScriptedSource, plain_route, stream_route};
use support::{Running, start};

/// Requests of one case. More than one, since an endpoint that names a limit may have a turn.
const REQUESTS: usize = 4;

/// What an endpoint asks for in its first answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Signal {
    Nothing,
    Limit,
    Leaving,
    Rest,
}

const SIGNALS: [Signal; 4] = [
    Signal::Nothing,
    Signal::Limit,
    Signal::Leaving,
    Signal::Rest,
];

impl Signal {
    /// Headers of the first answer, and whether the endpoint turns the request away by it.
    fn first_answer(self) -> (&'static str, bool) {
        match self {
            Self::Nothing => ("", false),
            Self::Limit => ("x-rate-limit: 0\r\n", false),
            Self::Leaving => ("x-leaving: 1\r\n", false),
            Self::Rest => ("retry-after: 600\r\n", true),
        }
    }

    /// The most requests that the endpoint may get after it.
    fn most_after(self) -> usize {
        match self {
            Self::Nothing => REQUESTS,
            // Turns come 2.5 s apart, and a case takes 2.8 s at most.
            Self::Limit => 2,
            Self::Leaving | Self::Rest => 0,
        }
    }
}

/// A way by which a request gets to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    FirstTry,
    Retry,
    Hedge,
    ResumedStream,
}

const WAYS: [Way; 4] = [Way::FirstTry, Way::Retry, Way::Hedge, Way::ResumedStream];

impl Way {
    fn is_stream(self) -> bool {
        self == Self::ResumedStream
    }

    /// What another endpoint does with each request first; none: there is no other.
    fn other_does(self) -> Option<Vec<Act>> {
        let full = "HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
        match self {
            Self::FirstTry => None,
            Self::Retry => Some(vec![Act::Send(full.into())]),
            Self::Hedge => Some(vec![Act::Hang]),
            Self::ResumedStream => Some(vec![
                stream_head(),
                event(1),
                chunk("id: 2\nda"),
                Act::Reset,
            ]),
        }
    }

    fn whole_answer(self) -> Vec<Act> {
        if self.is_stream() {
            vec![stream_head(), event(2), last_chunk()]
        } else {
            vec![answer("200 OK", "fine")]
        }
    }

    fn path(self) -> &'static str {
        match self {
            Self::FirstTry | Self::Retry => "/once/x",
            Self::Hedge => "/often/x",
            Self::ResumedStream => "/resume/x",
        }
    }
}

fn first_answer(signal: Signal) -> Vec<Act> {
    let (headers, is_turned_away) = signal.first_answer();
    let status = if is_turned_away {
        "503 Full\r\nx-not-run: 1"
    } else {
        "200 OK"
    };
    vec![Act::Send(format!(
        "HTTP/1.1 {status}\r\nx-id: {{id}}\r\nx-sign: s\r\n{headers}content-length: 0\r\n\r\n"
    ))]
}

async fn ask(running: &Running, way: Way) {
    let mut client = Client::connect(running.address).await;
    let text = request("POST", way.path(), "a1", "x-deadline: 600\r\n", "");
    client.send(&text).await;
    // How it ends isn't looked at: only who got it.
    let _ = client.answer().await;
}

async fn settle() {
    tokio::time::sleep(std::time::Duration::from_millis(350)).await;
}

/// Requests that an endpoint gets after its first answer, and those that the other one got.
async fn sent(way: Way, signal: Signal) -> (usize, usize) {
    let asking = Endpoint::start(move |at| {
        if at == 0 {
            first_answer(signal)
        } else {
            way.whole_answer()
        }
    })
    .await;
    let source = ScriptedSource::new();
    let routes = vec![
        plain_route("once", AtMostOnce, 1),
        plain_route("often", Idempotent, 2),
        stream_route("resume", true, 2),
    ];
    source.configure(1, routes, &[KEY]);
    let service = if way.is_stream() { "model" } else { "plain" };
    source.endpoint_in("dc-2", "e-0", service, asking.address);
    let running = start(source).await;
    ask(&running, way).await;
    assert_eq!(asking.count(), 1, "{way:?}, {signal:?}");
    let mut other = None;
    if let Some(acts) = way.other_does() {
        let endpoint = Endpoint::start(move |_| acts.clone()).await;
        // In the daemon's own data centre, so that it comes first.
        running
            .source
            .endpoint_in("dc-1", "e-1", service, endpoint.address);
        other = Some(endpoint);
        settle().await;
    }
    for _ in 0..REQUESTS {
        ask(&running, way).await;
    }
    let at_other = other.map_or(0, |endpoint| endpoint.count());
    (asking.count() - 1, at_other)
}

/// Guards against a way of sending that doesn't ask what the endpoint asked for.
#[tokio::test]
async fn what_an_endpoint_asks_for_binds_every_way_of_sending() {
    for way in WAYS {
        for signal in SIGNALS {
            let (after, at_other) = sent(way, signal).await;
            assert!(
                after <= signal.most_after(),
                "{way:?}, {signal:?}: {after} requests"
            );
            if signal == Signal::Nothing {
                assert!(after > 0, "{way:?} leads there without a signal");
                let has_other = way != Way::FirstTry;
                assert_eq!(at_other > 0, has_other, "{way:?} comes from another one");
            }
        }
    }
}
