//! The home of each pool: the one daemon of the data centre that decides for it.
//!
//! A request asks the home of its pool, on whatever daemon it came in. When the home can't
//! be reached or doesn't answer at once, the request is decided here: own knowledge and
//! lagged reports are worse than the home's, and better than none.

use crate::modules::serve::context::Context;
use crate::modules::serve::peers::links::{LinkHandle, OpenOffers, Peer};
use crate::modules::serve::peers::request_on_wire::request_of;
use crate::modules::serve::pools::handle::PoolMessage;
use crate::modules::serve::pools::messages::{NamedOffer, PoolOrder, PoolReport, RETRY_SOON};
use crate::modules::serve::pools::orders::OrderSender;
use crate::modules::serve::pools::remote_requests::RemoteRequest;
use crate::modules::serve::pools::wire::{
    code_of, offer_from_wire, offer_to_wire, outcome_of, report_from_wire, report_to_wire,
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

/// A home that doesn't take an offer in this time is passed over. Not measured, chosen because a
/// home that is well takes an offer within milliseconds; twice as long costs a first token.
const TAKE_MS: u64 = 400;
/// How often offers are looked through for such as weren't taken. Chosen because it is a quarter of
/// the time that it looks for.
const SWEEP_EVERY: Duration = Duration::from_millis(100);

/// The pool's name among the keys that have homes.
fn home_key(service: &ServiceName) -> String {
    format!("pool/{service}")
}

/// Whether this daemon decides for `service` now.
pub fn is_home(context: &Context, service: &ServiceName) -> bool {
    let home = context.members.remote_home(&home_key(service));
    home.is_none_or(|(vm, _)| context.homes.is_avoided(context.now(), &vm))
}

/// Whether this daemon is the home of `service` by its view of who lives, so that nobody
/// else decides on its engines.
pub(crate) fn is_sole_home(context: &Context, service: &ServiceName) -> bool {
    context.members.remote_home(&home_key(service)).is_none()
}

/// Offers a request to the home of its pool; false when no pool takes it.
pub fn offer(
    context: &Arc<Context>,
    offer: NamedOffer,
    orders: UnboundedSender<PoolOrder>,
) -> bool {
    let home = context.members.remote_home(&home_key(&offer.service));
    let now = context.now();
    let Some((vm, address)) = home.filter(|(vm, _)| !context.homes.is_avoided(now, vm)) else {
        return offer_here(context, offer, orders);
    };
    let request = offer.request;
    let frame = Body::PoolOffer(offer_to_wire(&offer));
    let remote = RemoteRequest {
        offer,
        orders,
        home: vm.clone(),
        address,
        sent_at: now,
        is_taken: false,
        running: None,
        delivered: Tokens(0),
    };
    context.homes.lock().insert(request, remote);
    if !context.links.to(address).send(frame) {
        pass_over(context, &vm);
    }
    true
}

/// Reports on a request to whoever decides on it.
pub async fn report(
    context: &Arc<Context>,
    service: &ServiceName,
    request: RequestId,
    report: PoolReport,
) {
    if report_remote(context, request, report) {
        return;
    }
    if let Some(pool) = context.pools.get(service) {
        pool.report(request, report).await;
    }
}

fn report_remote(context: &Arc<Context>, request: RequestId, report: PoolReport) -> bool {
    let mut remotes = context.homes.lock();
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
    context.links.to(address).send(Body::PoolReport(frame));
    true
}

/// The home of a request of this daemon has decided.
pub(crate) fn on_order(context: &Arc<Context>, peer: &Peer, link: &LinkHandle, order: &WireOrder) {
    let Some(request) = request_of(&order.request) else {
        return;
    };
    let mut remotes = context.homes.lock();
    let remote = remotes
        .get_mut(&request)
        .filter(|remote| remote.home == peer.vm);
    let Some(remote) = remote else {
        drop(remotes);
        // It was passed over meanwhile: it must forget the request.
        if matches!(order.order, Some(pool_order::Order::Dispatch(_))) {
            let gone = PoolReport::Finished(AttemptNumber(0), AttemptEnd::CallerGone);
            // The service isn't known any more; the home finds it by its own offers.
            let report = report_to_wire(&ServiceName::new(""), request, gone);
            link.send(Body::PoolReport(report));
        }
        return;
    };
    remote.is_taken = true;
    let (sent, is_over) = follow_order(context, remote, order);
    if is_over || !sent {
        remotes.remove(&request);
    }
}

/// No connection to `address` is left.
pub fn unreachable(context: &Arc<Context>, address: SocketAddr) {
    let lost = {
        let remotes = context.homes.lock();
        let at = remotes.values().find(|remote| remote.address == address);
        at.map(|remote| remote.home.clone())
    };
    if let Some(home) = lost {
        pass_over(context, &home);
    }
}

/// Takes back every request that `home` decides on, and decides here.
fn pass_over(context: &Arc<Context>, home: &VmId) {
    context.homes.avoid(context.now(), home);
    let taken_back: Vec<RemoteRequest> = {
        let mut remotes = context.homes.lock();
        let is_its = |_: &RequestId, remote: &mut RemoteRequest| remote.home == *home;
        remotes
            .extract_if(is_its)
            .map(|(_, remote)| remote)
            .collect()
    };
    event!(
        Event::HomePassedOver,
        vm = home,
        requests = taken_back.len()
    );
    for remote in taken_back {
        decide_here(context, remote);
    }
}

/// Who lives has changed: homes that are gone are passed over.
pub(crate) fn membership_changed(context: &Arc<Context>) {
    let homes: Vec<VmId> = context
        .homes
        .lock()
        .values()
        .map(|remote| remote.home.clone())
        .collect();
    for home in homes {
        if context.members.address_of(&home).is_none() {
            pass_over(context, &home);
        }
    }
}

/// A daemon whose offers are decided here is gone.
pub(crate) async fn origin_lost(
    context: &Arc<Context>,
    service: &ServiceName,
    request: RequestId,
    origin: u64,
) {
    if let Some(pool) = context.pools.get(service) {
        pool.send(PoolMessage::OriginLost(request, origin)).await;
    }
}

/// Passes over homes that don't take offers, until the daemon ends.
pub async fn run(context: Arc<Context>) {
    loop {
        tokio::time::sleep(SWEEP_EVERY).await;
        let now = context.now();
        let slow: Vec<VmId> = {
            let remotes = context.homes.lock();
            let is_slow =
                |remote: &&RemoteRequest| !remote.is_taken && now.since(remote.sent_at).0 > TAKE_MS;
            remotes
                .values()
                .filter(is_slow)
                .map(|remote| remote.home.clone())
                .collect()
        };
        for home in slow {
            if !context.homes.is_avoided(now, &home) {
                pass_over(&context, &home);
            }
        }
    }
}

fn offer_here(
    context: &Arc<Context>,
    offer: NamedOffer,
    orders: UnboundedSender<PoolOrder>,
) -> bool {
    let Some(pool) = context.pools.get(&offer.service) else {
        return false;
    };
    pool.offer(offer, OrderSender::local(orders))
}

/// Goes on with a request here: one that runs is taken over, one that waits is offered anew.
fn decide_here(context: &Arc<Context>, remote: RemoteRequest) {
    let Some(pool) = context.pools.get(&remote.offer.service) else {
        return;
    };
    let orders = OrderSender::local(remote.orders);
    match remote.running {
        None => {
            // A full pool drops the sender, by which the request learns it.
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

/// Passes an order on to its request; gives whether that listens, and whether it is over.
fn follow_order(context: &Context, remote: &mut RemoteRequest, order: &WireOrder) -> (bool, bool) {
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
                code: code_of(&refuse.code),
                outcome: outcome_of(&refuse.outcome),
                retry_after_ms: refuse.retry_after_ms.map(DurationMs),
            };
            (remote.orders.send(order).is_ok(), true)
        }
    }
}

/// Another daemon offers a request for this one to decide on.
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
    let taken = Body::PoolOrder(WireOrder {
        request,
        order: None,
    });
    link.send(taken);
    let Some(pool) = context.pools.get(&offer.service) else {
        refuse(&orders, RefusalCode::NoEngine);
        return;
    };
    let (id, service) = (offer.request, offer.service.clone());
    offers.insert(id, service);
    if !pool.offer(offer, orders.clone()) {
        refuse(&orders, RefusalCode::QueueFull);
    }
}

fn refuse(orders: &OrderSender, code: RefusalCode) {
    orders.send(PoolOrder::Refuse {
        code,
        outcome: Outcome::NotRun,
        retry_after_ms: Some(RETRY_SOON),
    });
}

/// Another daemon reports on a request that is decided on here.
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
