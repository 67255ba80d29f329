//! The home of each pool: the one daemon of the data centre that decides for it.
//!
//! The daemon that receives a request offers it to the home of the request's pool. When the home
//! can't be reached or doesn't accept the offer in time, this daemon bypasses it and decides
//! itself: its own knowledge and delayed reports are worse than the home's, but better than none.

use crate::modules::serve::context::Context;
use crate::modules::serve::peers::links::{LinkHandle, OpenOffers, Peer};
use crate::modules::serve::peers::request_id_wire::request_of;
use crate::modules::serve::pools::handle::PoolMessage;
use crate::modules::serve::pools::messages::{NamedOffer, PoolOrder, PoolReport, RETRY_SOON};
use crate::modules::serve::pools::orders::OrderSender;
use crate::modules::serve::pools::remote_requests::RemoteRequest;
use crate::modules::serve::pools::wire::{
    offer_from_wire, offer_to_wire, parse_outcome, parse_refusal_code, report_from_wire,
    report_to_wire,
};
use bridgevane_decisions::{AttemptEnd, CancelCause};
use bridgevane_events::{Event, event};
use bridgevane_protocol::frame::Body;
use bridgevane_protocol::{
    PoolOffer, PoolOrder as WireOrder, PoolReport as WireReport, pool_order,
};
use bridgevane_types::{
    AttemptNumber, DurationMs, EndpointId, Outcome, RefusalCode, RequestId, ServiceName, Tier,
    Tokens, VmId,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;

/// The time after which a home that hasn't accepted an offer is bypassed, in milliseconds. A
/// healthy home accepts an offer within milliseconds; twice this time would delay the first token
/// too much.
const ACCEPT_MS: u64 = 400;
/// The interval of the search for offers that weren't accepted in time: a quarter of
/// [`ACCEPT_MS`].
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the key by which the pool's home is found.
fn home_key(service: &ServiceName) -> String {
    format!("pool/{service}")
}

/// Whether this daemon decides for `service` now, as its home or because the home is bypassed.
pub fn is_home(context: &Context, service: &ServiceName) -> bool {
    let home = context.members.remote_home(&home_key(service));
    home.is_none_or(|(vm, _)| context.remote_requests.is_bypassed(context.now(), &vm))
}

/// Whether this daemon is the home of `service` in its view of the membership, so that no other
/// daemon decides on its engines.
pub(crate) fn is_sole_home(context: &Context, service: &ServiceName) -> bool {
    context.members.remote_home(&home_key(service)).is_none()
}

/// Offers a request to the home of its pool; false when no pool accepts it.
pub fn offer(
    context: &Arc<Context>,
    offer: NamedOffer,
    orders: UnboundedSender<PoolOrder>,
) -> bool {
    let home = context.members.remote_home(&home_key(&offer.service));
    let now = context.now();
    let Some((vm, address)) = home.filter(|(vm, _)| !context.remote_requests.is_bypassed(now, vm))
    else {
        return offer_locally(context, offer, orders);
    };
    let request = offer.request;
    let frame = Body::PoolOffer(offer_to_wire(&offer));
    let remote = RemoteRequest {
        offer,
        orders,
        home: vm.clone(),
        address,
        sent_at: now,
        is_accepted: false,
        running: None,
        delivered: Tokens(0),
    };
    context.remote_requests.lock().insert(request, remote);
    if !context.links.link_to(address).send(frame) {
        bypass(context, &vm);
    }
    true
}

/// Sends a request's report to the daemon that decides on it.
pub async fn report(
    context: &Arc<Context>,
    service: &ServiceName,
    request: RequestId,
    report: PoolReport,
) {
    if report_to_home(context, request, report) {
        return;
    }
    if let Some(pool) = context.pools.get(service) {
        pool.report(request, report).await;
    }
}

fn report_to_home(context: &Arc<Context>, request: RequestId, report: PoolReport) -> bool {
    let mut remotes = context.remote_requests.lock();
    let Some(remote) = remotes.get_mut(&request) else {
        return false;
    };
    let address = remote.address;
    let frame = report_to_wire(&remote.offer.service, request, report);
    match report {
        PoolReport::FirstToken(_) => remote.delivered += Tokens(1),
        PoolReport::Progress(_, delivered, _) => remote.delivered = delivered,
        PoolReport::Finished(_, AttemptEnd::Done(_) | AttemptEnd::CallerGone) => {
            remotes.remove(&request);
        }
        PoolReport::Finished(_, _) => remote.running = None,
    }
    drop(remotes);
    context.links.link_to(address).send(Body::PoolReport(frame));
    true
}

/// Handles an order of another daemon for a request of this daemon.
pub(crate) fn on_order(context: &Arc<Context>, peer: &Peer, link: &LinkHandle, order: &WireOrder) {
    let Some(request) = request_of(&order.request) else {
        return;
    };
    let mut remotes = context.remote_requests.lock();
    let remote = remotes
        .get_mut(&request)
        .filter(|remote| remote.home == peer.vm);
    let Some(remote) = remote else {
        drop(remotes);
        // The home was bypassed meanwhile and must drop the request.
        if matches!(order.order, Some(pool_order::Order::Dispatch(_))) {
            let gone = PoolReport::Finished(AttemptNumber(0), AttemptEnd::CallerGone);
            // The service isn't known any more; without it the home informs all its pools.
            let report = report_to_wire(&ServiceName::new(""), request, gone);
            link.send(Body::PoolReport(report));
        }
        return;
    };
    remote.is_accepted = true;
    let (sent, is_over) = forward_order(context, remote, order);
    if is_over || !sent {
        remotes.remove(&request);
    }
}

/// Bypasses the home at `address`, to which no connection is left.
pub fn on_unreachable(context: &Arc<Context>, address: SocketAddr) {
    let home = {
        let remotes = context.remote_requests.lock();
        let at = remotes.values().find(|remote| remote.address == address);
        at.map(|remote| remote.home.clone())
    };
    if let Some(home) = home {
        bypass(context, &home);
    }
}

/// Bypasses `home`: this daemon decides on all its requests that were offered there.
fn bypass(context: &Arc<Context>, home: &VmId) {
    context.remote_requests.start_bypass(context.now(), home);
    let requests: Vec<RemoteRequest> = {
        let mut remotes = context.remote_requests.lock();
        let is_at_home = |_: &RequestId, remote: &mut RemoteRequest| remote.home == *home;
        remotes
            .extract_if(is_at_home)
            .map(|(_, remote)| remote)
            .collect()
    };
    event!(Event::HomePassedOver, vm = home, requests = requests.len());
    for remote in requests {
        decide_locally(context, remote);
    }
}

/// Bypasses the homes that the changed membership no longer contains.
pub(crate) fn on_membership_changed(context: &Arc<Context>) {
    let homes: Vec<VmId> = context
        .remote_requests
        .lock()
        .values()
        .map(|remote| remote.home.clone())
        .collect();
    for home in homes {
        if context.members.address_of(&home).is_none() {
            bypass(context, &home);
        }
    }
}

/// Informs the pool that the daemon which offered `request` is gone.
pub(crate) async fn on_origin_lost(
    context: &Arc<Context>,
    service: &ServiceName,
    request: RequestId,
    origin: u64,
) {
    if let Some(pool) = context.pools.get(service) {
        pool.send(PoolMessage::OriginLost(request, origin)).await;
    }
}

/// Bypasses homes that don't accept offers in time, until the daemon ends.
pub async fn run(context: Arc<Context>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now = context.now();
        let slow: Vec<VmId> = {
            let remotes = context.remote_requests.lock();
            let is_slow = |remote: &&RemoteRequest| {
                !remote.is_accepted && now.since(remote.sent_at).0 > ACCEPT_MS
            };
            remotes
                .values()
                .filter(is_slow)
                .map(|remote| remote.home.clone())
                .collect()
        };
        for home in slow {
            if !context.remote_requests.is_bypassed(now, &home) {
                bypass(&context, &home);
            }
        }
    }
}

fn offer_locally(
    context: &Arc<Context>,
    offer: NamedOffer,
    orders: UnboundedSender<PoolOrder>,
) -> bool {
    let Some(pool) = context.pools.get(&offer.service) else {
        return false;
    };
    pool.offer(offer, OrderSender::local(orders))
}

/// Continues a request on this daemon: a running request is taken over, a waiting one is offered
/// again.
fn decide_locally(context: &Arc<Context>, remote: RemoteRequest) {
    let Some(pool) = context.pools.get(&remote.offer.service) else {
        return;
    };
    let orders = OrderSender::local(remote.orders);
    match remote.running {
        None => {
            // A full pool drops the sender, and the request ends with a refusal.
            let _ = pool.offer(remote.offer, orders);
        }
        Some((engine, attempt)) => {
            let message = PoolMessage::Adopt {
                offer: Box::new(remote.offer),
                engine,
                attempt,
                delivered: remote.delivered,
                orders,
            };
            tokio::spawn(async move { pool.send(message).await });
        }
    }
}

/// Forwards an order to its request; returns whether the request received it and whether it is
/// over.
fn forward_order(context: &Context, remote: &mut RemoteRequest, order: &WireOrder) -> (bool, bool) {
    match &order.order {
        None => (true, false),
        Some(pool_order::Order::Dispatch(dispatch)) => {
            let name = EndpointId::new(&dispatch.engine);
            let service = &remote.offer.service;
            let Some(engine) = context.pools.link(service, &name) else {
                return (false, true);
            };
            let attempt = AttemptNumber(dispatch.attempt);
            remote.running = Some((name, attempt));
            let order = PoolOrder::Dispatch {
                attempt,
                engine,
                priority: Tier(dispatch.priority as u8),
                cached_tokens: Tokens(dispatch.cached_tokens),
            };
            (remote.orders.send(order).is_ok(), false)
        }
        Some(pool_order::Order::Cancel(cancel)) => {
            remote.running = None;
            let cause = match cancel.cause {
                0 => CancelCause::Preempted,
                1 => CancelCause::Moved,
                _ => CancelCause::CallerGone,
            };
            let attempt = AttemptNumber(cancel.attempt);
            let order = PoolOrder::Cancel { attempt, cause };
            (remote.orders.send(order).is_ok(), false)
        }
        Some(pool_order::Order::Refuse(refuse)) => {
            let order = PoolOrder::Refuse {
                code: parse_refusal_code(&refuse.code),
                outcome: parse_outcome(&refuse.outcome),
                retry_after_ms: refuse.retry_after_ms.map(DurationMs),
            };
            (remote.orders.send(order).is_ok(), true)
        }
    }
}

/// Handles another daemon's offer of a request that this daemon is to decide on.
pub(crate) fn on_offer(
    context: &Arc<Context>,
    link: &LinkHandle,
    offer: PoolOffer,
    offers: &mut OpenOffers,
) {
    let request = offer.request.clone();
    let Some(offer) = offer_from_wire(offer) else {
        return;
    };
    let orders = OrderSender::peer(offer.request, link.clone());
    let accepted = Body::PoolOrder(WireOrder {
        request,
        order: None,
    });
    link.send(accepted);
    let Some(pool) = context.pools.get(&offer.service) else {
        send_refusal(&orders, RefusalCode::NoEngine);
        return;
    };
    let (id, service) = (offer.request, offer.service.clone());
    offers.insert(id, service);
    if !pool.offer(offer, orders.clone()) {
        send_refusal(&orders, RefusalCode::QueueFull);
    }
}

fn send_refusal(orders: &OrderSender, code: RefusalCode) {
    orders.send(PoolOrder::Refuse {
        code,
        outcome: Outcome::NotRun,
        retry_after_ms: Some(RETRY_SOON),
    });
}

/// Handles another daemon's report on a request that this daemon decides on.
pub async fn on_report(context: &Arc<Context>, report: &WireReport) {
    let (Some(request), Some(read)) = (request_of(&report.request), report_from_wire(report))
    else {
        return;
    };
    if !report.service.is_empty() {
        let service = ServiceName::new(&report.service);
        if let Some(pool) = context.pools.get(&service) {
            pool.report(request, read).await;
        }
        return;
    }
    for (_, pool) in context.pools.all() {
        pool.report(request, read).await;
    }
}
