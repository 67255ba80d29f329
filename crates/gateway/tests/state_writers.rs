//! Tests that proofs and states are stored in an order in which a request never sees a proof of what isn't
//! applied yet.

mod support;

use bridgevane_gateway::{
    Change, Changes, ControlSource, FullState, ReadProgress, Revision, SourceError, SourceRecord,
};
use bridgevane_types::{DurationMs, EndpointId, TimeMs};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::source::ScriptedSource;
use support::{launch, settings};

/// A source that takes long to decode a record.
struct SlowDecoder {
    began: Sender<()>,
    goes_on: Mutex<Receiver<()>>,
}

impl ControlSource for SlowDecoder {
    async fn full_state(&self, _progress: &ReadProgress) -> Result<FullState, SourceError> {
        Err(SourceError::NoAnswer)
    }

    async fn changes(&self, _after: Revision, _wait: DurationMs) -> Result<Changes, SourceError> {
        Err(SourceError::NoAnswer)
    }

    fn decode(&self, record: &SourceRecord) -> Option<Change> {
        self.began.send(()).unwrap();
        self.goes_on.lock().unwrap().recv().unwrap();
        Some(Change::EndpointRemoved(EndpointId::from(
            record.key.as_str(),
        )))
    }
}

/// Guards against a request that concludes from a proof of another daemon while the changes which that
/// proof covers are still being applied.
#[tokio::test]
async fn a_proof_of_changes_is_adopted_only_after_they_are_applied() {
    let clock = bridgevane_gateway::Clock::scripted(bridgevane_gateway::ClockScript::leaked());
    let source = ScriptedSource::new();
    source.set_fault(Some(SourceError::NoAnswer));
    let gateway = launch(clock, source, settings()).await.gateway;
    let (began, has_begun) = channel();
    let (go_on, goes_on) = channel();
    let decoder = SlowDecoder {
        began,
        goes_on: Mutex::new(goes_on),
    };
    let changes = Changes {
        revision: Revision(1),
        records: vec![SourceRecord {
            key: "e-1".into(),
            revision: Revision(1),
            value: Some("x".into()),
        }],
    };
    let proved_at = TimeMs(clock.now().0 + 1);
    let writer = Arc::clone(&gateway);
    let applying = std::thread::spawn(move || writer.control.apply(&decoder, changes));
    has_begun.recv().unwrap();
    let adopter = Arc::clone(&gateway);
    let adopting = std::thread::spawn(move || adopter.control.adopt_proof(Revision(1), proved_at));
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(
        gateway.control.proved_at(),
        None,
        "the changes aren't applied"
    );
    go_on.send(()).unwrap();
    applying.join().unwrap();
    adopting.join().unwrap();
    assert_eq!(gateway.control.proved_at(), Some(proved_at));
}
