//! Tests every kind of request that a daemon sends with every signal that an endpoint can give in
//! its answers.
//!
//! A new kind or signal gets its row or column here.

mod support;

use bridgevane_gateway::Repeatability::{AtMostOnce, Idempotent};
use support::client::{Client, request};
use support::endpoint::{Action, Endpoint, answer, chunk, event, last_chunk, stream_head};
use support::source::{KEY, ScriptedSource, plain_route, stream_route};
use support::{RunningGateway, start};

/// The number of requests of one case. More than one, since a daemon may have a permit for an
/// endpoint that announces a limit.
const REQUESTS: usize = 4;

/// The signal that an endpoint gives in its first answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Signal {
    Nothing,
    Limit,
    Leaving,
    Backoff,
}

const SIGNALS: [Signal; 4] = [
    Signal::Nothing,
    Signal::Limit,
    Signal::Leaving,
    Signal::Backoff,
];

impl Signal {
    /// Returns the headers of the first answer, and whether the endpoint rejects the request with
    /// it.
    fn first_answer(self) -> (&'static str, bool) {
        match self {
            Self::Nothing => ("", false),
            Self::Limit => ("x-rate-limit: 0\r\n", false),
            Self::Leaving => ("x-leaving: 1\r\n", false),
            Self::Backoff => ("retry-after: 600\r\n", true),
        }
    }

    /// Returns the maximum number of requests that the endpoint may get after it.
    fn max_after(self) -> usize {
        match self {
            Self::Nothing => REQUESTS,
            // Permits are issued every 2.5 s, and a case takes 2.8 s at most.
            Self::Limit => 2,
            Self::Leaving | Self::Backoff => 0,
        }
    }
}

/// The kinds of requests that a daemon sends to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SendKind {
    FirstAttempt,
    Retry,
    Hedge,
    ResumedStream,
}

const SEND_KINDS: [SendKind; 4] = [
    SendKind::FirstAttempt,
    SendKind::Retry,
    SendKind::Hedge,
    SendKind::ResumedStream,
];

impl SendKind {
    fn is_stream(self) -> bool {
        self == Self::ResumedStream
    }

    /// Returns what another endpoint does with each request first; `None` if there is no other.
    fn other_endpoint_acts(self) -> Option<Vec<Action>> {
        let full = "HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
        match self {
            Self::FirstAttempt => None,
            Self::Retry => Some(vec![Action::Send(full.into())]),
            Self::Hedge => Some(vec![Action::Hang]),
            Self::ResumedStream => Some(vec![
                stream_head(),
                event(1),
                chunk("id: 2\nda"),
                Action::Reset,
            ]),
        }
    }

    fn whole_answer(self) -> Vec<Action> {
        if self.is_stream() {
            vec![stream_head(), event(2), last_chunk()]
        } else {
            vec![answer("200 OK", "fine")]
        }
    }

    fn path(self) -> &'static str {
        match self {
            Self::FirstAttempt | Self::Retry => "/once/x",
            Self::Hedge => "/often/x",
            Self::ResumedStream => "/resume/x",
        }
    }
}

fn first_answer(signal: Signal) -> Vec<Action> {
    let (headers, is_rejected) = signal.first_answer();
    let status = if is_rejected {
        "503 Full\r\nx-not-run: 1"
    } else {
        "200 OK"
    };
    vec![Action::Send(format!(
        "HTTP/1.1 {status}\r\nx-id: {{id}}\r\nx-sign: s\r\n{headers}content-length: 0\r\n\r\n"
    ))]
}

async fn ask(running: &RunningGateway, kind: SendKind) {
    let mut client = Client::connect(running.address).await;
    let text = request("POST", kind.path(), "a1", "x-deadline: 600\r\n", "");
    client.send(&text).await;
    // The result isn't checked, only which endpoint got the request.
    let _ = client.answer().await;
}

async fn wait_for_update() {
    tokio::time::sleep(std::time::Duration::from_millis(350)).await;
}

/// Returns the later answers of an endpoint. One that announces a limit repeats it in each answer:
/// the first answer without it withdraws the limit.
fn later_answer(kind: SendKind, signal: Signal) -> Vec<Action> {
    let mut acts = kind.whole_answer();
    if let (Signal::Limit, Some(Action::Send(head))) = (signal, acts.first_mut()) {
        let (headers, _) = signal.first_answer();
        *head = head.replacen("x-sign: s\r\n", &format!("x-sign: s\r\n{headers}"), 1);
    }
    acts
}

/// Returns the number of requests that an endpoint gets after its first answer, and of those that
/// the other one got.
async fn requests_after_signal(kind: SendKind, signal: Signal) -> (usize, usize) {
    let signalling = Endpoint::start(move |at| {
        if at == 0 {
            first_answer(signal)
        } else {
            later_answer(kind, signal)
        }
    })
    .await;
    let source = ScriptedSource::new();
    let routes = vec![
        plain_route("once", AtMostOnce, 1),
        plain_route("often", Idempotent, 2),
        stream_route("resume", true, 2),
    ];
    source.publish_configuration(1, routes, &[KEY]);
    let service = if kind.is_stream() { "model" } else { "plain" };
    source.publish_endpoint_in("dc-2", "e-0", service, signalling.address);
    let running = start(source).await;
    ask(&running, kind).await;
    assert_eq!(signalling.request_count(), 1, "{kind:?}, {signal:?}");
    let mut other = None;
    if let Some(acts) = kind.other_endpoint_acts() {
        let endpoint = Endpoint::start(move |_| acts.clone()).await;
        // In the daemon's own data centre, so that it is chosen first.
        running
            .source
            .publish_endpoint_in("dc-1", "e-1", service, endpoint.address);
        other = Some(endpoint);
        wait_for_update().await;
    }
    for _ in 0..REQUESTS {
        ask(&running, kind).await;
    }
    let at_other = other.map_or(0, |endpoint| endpoint.request_count());
    (signalling.request_count() - 1, at_other)
}

/// Guards against a kind of request that ignores the signals of an endpoint.
#[tokio::test]
async fn every_kind_of_request_respects_the_signals_of_an_endpoint() {
    for kind in SEND_KINDS {
        for signal in SIGNALS {
            let (after, at_other) = requests_after_signal(kind, signal).await;
            assert!(
                after <= signal.max_after(),
                "{kind:?}, {signal:?}: {after} requests"
            );
            if signal == Signal::Nothing {
                assert!(after > 0, "{kind:?} reaches the endpoint without a signal");
                let has_other = kind != SendKind::FirstAttempt;
                assert_eq!(
                    at_other > 0,
                    has_other,
                    "{kind:?} comes from another endpoint"
                );
            }
        }
    }
}
