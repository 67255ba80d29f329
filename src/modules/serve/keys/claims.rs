//! Claims of idempotency keys between daemons: the home of a key decides whether its call may run.
//! [`super::end_reports`] reports the end of the call to the home.

use crate::modules::serve::context::Context;
use crate::modules::serve::keys::key_homes::{ClaimAnswer, GrantedClaim, KeyedCall};
use crate::modules::serve::peers::links::{LinkHandle, Peer};
use crate::modules::serve::peers::request_id_wire::{request_bytes, request_of};
use bridgevane_adapters::{KeyValue, KvCas, KvError};
use bridgevane_coordination::{Claim, StoredAnswer, Verdict, home_of};
use bridgevane_protocol::frame::Body;
use bridgevane_protocol::key_verdict::Verdict as WireCode;
use bridgevane_protocol::{KeyClaim, KeyVerdict};
use bridgevane_types::{CustomerId, IdempotencyKey, ServiceName, VmId};
use bytes::Bytes;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::oneshot;

/// The time limit for a home's answer to a claim. With half of it, calls would get the answer
/// `unknown` when a home is only slow.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The pause before a claim is sent again to a daemon that answered that it isn't the key's home.
/// The daemons' views of the membership converge within a few heartbeats.
const NOT_HOME_PAUSE: Duration = Duration::from_millis(200);
/// The maximum number of claims that are sent for one call. Three pauses are within the time that a
/// caller waits.
const NOT_HOME_MAX_ATTEMPTS: u32 = 3;
/// Asks the key's home whether the call may run.
pub async fn claim(context: &Arc<Context>, call: KeyedCall) -> ClaimAnswer {
    for _ in 0..NOT_HOME_MAX_ATTEMPTS {
        let home = context.members.remote_home(&call.home_key());
        let Some((_, address)) = home else {
            let verdict = decide_as_home(context, claim_of(context, &call)).await;
            return claim_answer(verdict, call, None);
        };
        match ask_home(context, address, &call, false).await {
            Some(verdict) if verdict.verdict() == WireCode::NotHome => {
                tokio::time::sleep(NOT_HOME_PAUSE).await;
            }
            Some(verdict) => return claim_answer(from_wire(&verdict), call, Some(address)),
            None => break,
        }
    }
    // No daemon that may know the key has answered: the call may have run before.
    ClaimAnswer::Denied(Verdict::Unknown)
}

/// Asks another daemon about a key, either as the key's home or, with `is_asked_before`, as its
/// earlier home. Returns `None` if it doesn't answer in time.
async fn ask_home(
    context: &Arc<Context>,
    address: SocketAddr,
    call: &KeyedCall,
    is_asked_before: bool,
) -> Option<KeyVerdict> {
    let claim = context.keys.next_claim.fetch_add(1, Ordering::Relaxed);
    let (sender, receiver) = oneshot::channel();
    context.keys.pending_claims().insert(claim, sender);
    let frame = Body::KeyClaim(KeyClaim {
        claim,
        service: call.service.to_string(),
        customer: call.customer.to_string(),
        key: call.key.to_string(),
        request: request_bytes(call.request),
        call_digest: call.call_digest,
        is_asked_before,
    });
    context.links.link_to(address).send(frame);
    let verdict = tokio::time::timeout(ANSWER_TIMEOUT, receiver).await;
    context.keys.pending_claims().remove(&claim);
    // No answer in time, or the claim was dropped: the verdict isn't known.
    verdict.ok()?.ok()
}

fn claim_answer(verdict: Verdict, call: KeyedCall, home: Option<SocketAddr>) -> ClaimAnswer {
    match verdict {
        Verdict::Run => ClaimAnswer::Granted(GrantedClaim { call, home }),
        other => ClaimAnswer::Denied(other),
    }
}

fn claim_of(context: &Context, call: &KeyedCall) -> Claim {
    let in_force = context.in_force.load();
    let service = in_force
        .as_ref()
        .and_then(|it| it.document.service.get(&call.service));
    Claim {
        key: call.home_key(),
        call_digest: call.call_digest,
        request: call.request,
        runner: context.config.vm.clone(),
        endpoint_deduplicates: service.is_some_and(|service| service.deduplicates),
    }
}

/// Decides a claim as the key's home. Asks the earlier home if the registry requires it.
async fn decide_as_home(context: &Arc<Context>, claim: Claim) -> Verdict {
    let live = context.members.live();
    let verdict = context
        .keys
        .registry()
        .claim(context.now(), claim.clone(), &live.key_members);
    let earlier = match verdict {
        Verdict::AskEarlierHome(before) => ask_earlier_home(context, &before, &claim).await,
        Verdict::NoOlderDaemon => verdict_without_older_daemon(context).await,
        decided => return decided,
    };
    context
        .keys
        .registry()
        .apply_earlier_verdict(claim, earlier)
}

async fn ask_earlier_home(context: &Arc<Context>, earlier: &VmId, claim: &Claim) -> Verdict {
    let address = context.members.address_of(earlier);
    let (Some(address), Some(call)) = (address, keyed_call_of(claim)) else {
        return Verdict::Unknown;
    };
    let answer = ask_home(context, address, &call, true).await;
    answer.map_or(Verdict::Unknown, |verdict| from_wire(&verdict))
}

/// Returns the verdict when no daemon remembers earlier keys: `Run` only if this data centre never
/// had daemons before. The platform's service holds a mark for each data centre that has had
/// daemons; the first daemon of a data centre writes it.
async fn verdict_without_older_daemon(context: &Arc<Context>) -> Verdict {
    let had_daemons_before = context
        .keys
        .had_daemons
        .get_or_try_init(|| had_daemons(context))
        .await;
    match had_daemons_before {
        Ok(false) => Verdict::Run,
        Ok(true) | Err(_) => Verdict::NoOlderDaemon,
    }
}

async fn had_daemons(context: &Context) -> Result<bool, KvError> {
    if context.replica.is_platform_unavailable() {
        // Otherwise every keyed call would ask the platform again; the watchers notice its return.
        return Err(KvError::NotReached);
    }
    let cas = KvCas {
        key: format!("bridgevane/had-daemons/{}", context.config.data_centre),
        expected: None,
        text: Some(context.config.vm.to_string()),
        lease: None,
    };
    context.metrics.count_platform_call("cas");
    match context.platform.compare_and_swap(cas).await {
        Ok(_) => Ok(false),
        Err(KvError::Conflict) => Ok(true),
        Err(error) => Err(error),
    }
}

/// Returns the call of a claim, to ask the earlier home about it.
fn keyed_call_of(claim: &Claim) -> Option<KeyedCall> {
    let mut parts = claim.key.splitn(4, '/').skip(1);
    Some(KeyedCall {
        service: ServiceName::new(parts.next()?),
        customer: CustomerId::new(parts.next()?),
        key: IdempotencyKey::new(parts.next()?),
        request: claim.request,
        call_digest: claim.call_digest,
    })
}

/// Handles another daemon's claim of a key.
pub(crate) fn on_claim(context: &Arc<Context>, peer: &Peer, link: &LinkHandle, wire: KeyClaim) {
    let Some(request) = request_of(&wire.request) else {
        return;
    };
    let call = KeyedCall {
        service: ServiceName::new(&wire.service),
        customer: CustomerId::new(&wire.customer),
        key: IdempotencyKey::new(&wire.key),
        request,
        call_digest: wire.call_digest,
    };
    let live = context.members.live();
    let home = home_of(&call.home_key(), live.live.iter());
    let is_home = home == Some(&context.config.vm);
    if !is_home && !wire.is_asked_before {
        link.send(Body::KeyVerdict(to_wire(wire.claim, None)));
        return;
    }
    let claim = Claim {
        runner: peer.vm.clone(),
        ..claim_of(context, &call)
    };
    let (context, link) = (context.clone(), link.clone());
    tokio::spawn(async move {
        let verdict = decide_as_home(&context, claim).await;
        link.send(Body::KeyVerdict(to_wire(wire.claim, Some(verdict))));
    });
}

fn to_wire(claim: u64, verdict: Option<Verdict>) -> KeyVerdict {
    let mut wire = KeyVerdict {
        claim,
        ..KeyVerdict::default()
    };
    let code = match verdict {
        None => WireCode::NotHome,
        Some(Verdict::Run) => WireCode::Run,
        Some(Verdict::Running) => WireCode::Running,
        Some(Verdict::Done(answer)) => {
            wire.status = u32::from(answer.status);
            wire.content_type = answer.content_type;
            wire.body = Bytes::from(answer.body);
            WireCode::Done
        }
        Some(Verdict::Unknown | Verdict::AskEarlierHome(_) | Verdict::NoOlderDaemon) => {
            WireCode::Unknown
        }
        Some(Verdict::Mismatch) => WireCode::Mismatch,
        Some(Verdict::Full) => WireCode::Full,
    };
    wire.set_verdict(code);
    wire
}

fn from_wire(wire: &KeyVerdict) -> Verdict {
    match wire.verdict() {
        WireCode::Run => Verdict::Run,
        WireCode::Running => Verdict::Running,
        WireCode::Done => Verdict::Done(StoredAnswer {
            status: wire.status as u16,
            content_type: wire.content_type.clone(),
            body: wire.body.to_vec(),
        }),
        WireCode::Mismatch => Verdict::Mismatch,
        WireCode::Full => Verdict::Full,
        WireCode::Unknown | WireCode::NotHome | WireCode::Unspecified => Verdict::Unknown,
    }
}
