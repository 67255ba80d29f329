//! Reports the end of a call with an idempotency key to the home of the key.
//!
//! The daemon that ran the call waits for the home's acknowledgement before it answers the caller:
//! a caller that has the answer may send the same key through another daemon at once, and must not
//! be refused because the call is in progress. A home that doesn't acknowledge in time doesn't
//! delay the answer any longer; the report is sent again afterwards. The alternative, a claim that
//! waits at the home for the end of the call, is discussed in docs/design/06.

use crate::modules::serve::context::Context;
use crate::modules::serve::keys::key_homes::GrantedClaim;
use crate::modules::serve::peers::links::LinkHandle;
use crate::modules::serve::peers::request_id_wire::{request_bytes, request_of};
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

/// The longest time for which an answer waits for the home's acknowledgement: about ten round trips
/// between data centres. A home that is slower, unreachable or gone delays the answer of each of
/// its keys by this time, until it is known to be gone. Without load the acknowledgement takes 30
/// us at the median (benches/latency.rs).
const ACK_TIMEOUT: Duration = Duration::from_millis(250);
/// The maximum number of reports of one end, one per [`RETRY_PAUSE`]. A home that is unreachable
/// for longer is dead, and its keys answer `unknown`.
const MAX_ATTEMPTS: u32 = 10;
/// The pause between two reports of the same end. Shorter pauses would only fill the queue of an
/// unreachable daemon.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// Reports the end of a call to the home of its key, and waits up to [`ACK_TIMEOUT`] for the
/// acknowledgement.
pub(crate) async fn report_end(context: &Arc<Context>, granted: &GrantedClaim, end: KeyEnd) {
    let call = &granted.call;
    let Some(home) = granted.home else {
        let mut registry = context.keys.registry();
        registry.record_end(context.now(), &call.home_key(), call.request, end);
        return;
    };
    let ended = end_message(granted, end);
    if send_report(context, home, ended.clone()).await {
        return;
    }
    let context = context.clone();
    tokio::spawn(async move {
        for _ in 1..MAX_ATTEMPTS {
            sleep(RETRY_PAUSE).await;
            if send_report(&context, home, ended.clone()).await {
                return;
            }
        }
        event!(Event::KeyEndUnheard, home = home);
    });
}

fn end_message(granted: &GrantedClaim, end: KeyEnd) -> KeyEnded {
    let call = &granted.call;
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

/// Sends one report to the home; false if it wasn't acknowledged in time.
async fn send_report(context: &Context, home: SocketAddr, ended: KeyEnded) -> bool {
    let claim = context.keys.next_claim.fetch_add(1, Ordering::Relaxed);
    let (sender, acknowledged) = oneshot::channel();
    context.keys.unacknowledged().insert(claim, sender);
    let is_sent = context
        .links
        .link_to(home)
        .send(Body::KeyEnded(KeyEnded { claim, ..ended }));
    let is_acknowledged = is_sent && matches!(timeout(ACK_TIMEOUT, acknowledged).await, Ok(Ok(())));
    context.keys.unacknowledged().remove(&claim);
    is_acknowledged
}

/// Handles another daemon's report of the end of a call.
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
        .record_end(context.now(), &key, request, end);
    // If this acknowledgement is lost, the end is reported again.
    link.send(Body::KeyEndedHeard(KeyEndedHeard { claim: ended.claim }));
}
