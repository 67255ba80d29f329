//! Idempotency keys between daemons: the home of a key hears how its call ended.
//!
//! The daemon that ran the call waits for the home's word before it answers the caller: who has the
//! answer may send the same key through another daemon at once, and must not be told that the call is in
//! progress. A home that says nothing in time doesn't keep the answer back; it is told again afterwards.
//! Weighed against letting a claim wait at the home for the end: docs/design/06.

use crate::modules::serve::context::Context;
use crate::modules::serve::keys::key_homes::LetRun;
use crate::modules::serve::peers::links::LinkHandle;
use crate::modules::serve::peers::request_on_wire::{request_bytes, request_of};
use bridgevane_coordination::{KeyEnd, StoredAnswer};
use bridgevane_events::{Event, event};
use bridgevane_protocol::frame::Body;
use bridgevane_protocol::{KeyEnded, KeyEndedHeard};
use bytes::Bytes;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

/// How long an answer waits for the home's word. Chosen because it is some ten round trips between data
/// centres; a home that is slower, cut off or gone costs each of its keys' answers so much, until it is
/// known to be gone. Measured without load: 30 us at the median (benches/latency.rs).
const HEARD_TIMEOUT: Duration = Duration::from_millis(250);
/// How often, and how far apart, the end of a call is told. Not measured, chosen because a home that is
/// away for longer is dead, and its keys answer `unknown`.
const TRIES: u32 = 10;
/// Pause between two of these. Not measured; shorter ones would only fill the queue of a daemon that is
/// away.
const PAUSE: Duration = Duration::from_millis(1_000);

/// Tells the home of a key how its call ended, and waits a bounded while until it knows.
pub(crate) async fn end(context: &Arc<Context>, let_run: &LetRun, end: KeyEnd) {
    let call = &let_run.call;
    let Some(home) = let_run.home else {
        let mut registry = context.keys.registry();
        registry.ended(context.now(), &call.home_key(), call.request, end);
        return;
    };
    let ended = end_message(let_run, end);
    if tell(context, home, ended.clone()).await {
        return;
    }
    let context = context.clone();
    tokio::spawn(async move {
        for _ in 1..TRIES {
            sleep(PAUSE).await;
            if tell(&context, home, ended.clone()).await {
                return;
            }
        }
        event!(Event::KeyEndUnheard, home = home);
    });
}

fn end_message(let_run: &LetRun, end: KeyEnd) -> KeyEnded {
    let call = &let_run.call;
    let mut ended = KeyEnded {
        service: call.service.to_string(),
        customer: call.customer.to_string(),
        key: call.key.to_string(),
        request: request_bytes(call.request),
        ..KeyEnded::default()
    };
    match end {
        KeyEnd::NotRun => {}
        KeyEnd::Unknown => ended.is_known = Some(false),
        KeyEnd::Done(answer) => {
            ended.is_known = Some(true);
            ended.status = u32::from(answer.status);
            ended.content_type = answer.content_type;
            ended.body = Bytes::from(answer.body);
        }
    }
    ended
}

/// Tells the home once; false when it didn't say in time that it has heard.
async fn tell(context: &Context, home: SocketAddr, ended: KeyEnded) -> bool {
    let claim = context.keys.next_claim.fetch_add(1, Ordering::Relaxed);
    let (sender, heard) = oneshot::channel();
    context.keys.unheard().insert(claim, sender);
    let is_sent = context
        .links
        .to(home)
        .send(Body::KeyEnded(KeyEnded { claim, ..ended }));
    let is_heard = is_sent && matches!(timeout(HEARD_TIMEOUT, heard).await, Ok(Ok(())));
    context.keys.unheard().remove(&claim);
    is_heard
}

/// Another daemon tells how a call ended.
pub(crate) fn on_ended(context: &Arc<Context>, link: &LinkHandle, ended: &KeyEnded) {
    let Some(request) = request_of(&ended.request) else {
        return;
    };
    let end = match ended.is_known {
        None => KeyEnd::NotRun,
        Some(false) => KeyEnd::Unknown,
        Some(true) => KeyEnd::Done(StoredAnswer {
            status: ended.status as u16,
            content_type: ended.content_type.clone(),
            body: ended.body.to_vec(),
        }),
    };
    let key = format!("key/{}/{}/{}", ended.service, ended.customer, ended.key);
    context
        .keys
        .registry()
        .ended(context.now(), &key, request, end);
    // One that gets lost is asked for again.
    link.send(Body::KeyEndedHeard(KeyEndedHeard { claim: ended.claim }));
}
