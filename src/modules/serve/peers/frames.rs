//! Processing of the frames that other daemons send.

use crate::modules::serve::configuration::relay;
use crate::modules::serve::context::Context;
use crate::modules::serve::keys::{claims, end_reports};
use crate::modules::serve::operators::fan_out;
use crate::modules::serve::peers::links::{LinkHandle, OpenOffers, Peer};
use crate::modules::serve::peers::membership;
use crate::modules::serve::peers::request_id_wire::request_of;
use crate::modules::serve::pools::homes;
use bridgevane_protocol::frame::Body;
use bridgevane_protocol::{Frame, pool_order, pool_report};
use prost::Message;
use std::sync::Arc;

/// The number of bytes that the codec adds to a frame: a length of four bytes precedes each frame.
const LENGTH_BYTES: u64 = 4;

/// Counts a frame's bytes in the metrics, separately for control and for the path of a request.
pub fn count_bytes(context: &Context, direction: &'static str, frame: &Frame) {
    let is_control = matches!(
        frame.body,
        Some(
            Body::Heartbeat(_)
                | Body::HeartbeatAck(_)
                | Body::ConfigWanted(_)
                | Body::ConfigDelta(_)
                | Body::ConfigSnapshot(_)
        )
    );
    let purpose = if is_control { "control" } else { "request" };
    let bytes = frame.encoded_len() as u64 + LENGTH_BYTES;
    context.metrics.count_peer_bytes(direction, purpose, bytes);
}

/// Removes the offer of the other side that a sent refusal ends.
pub(crate) fn on_sent(frame: &Frame, offers: &mut OpenOffers) {
    let Some(Body::PoolOrder(order)) = &frame.body else {
        return;
    };
    if matches!(order.order, Some(pool_order::Order::Refuse(_)))
        && let Some(request) = request_of(&order.request)
    {
        offers.remove(&request);
    }
}

/// Processes a received frame.
pub async fn handle(
    context: &Arc<Context>,
    peer: &Peer,
    link: &LinkHandle,
    frame: Frame,
    offers: &mut OpenOffers,
) {
    let Some(body) = frame.body else {
        // A daemon with a newer protocol version has sent a message that is unknown here.
        return;
    };
    match body {
        // The frames of the handshake are exchanged before; later ones are ignored.
        Body::Hello(_) | Body::Proof(_) => {}
        Body::Heartbeat(heartbeat) => membership::on_heartbeat(context, peer, link, heartbeat),
        Body::HeartbeatAck(heartbeat) => membership::on_ack(context, peer, link, heartbeat),
        Body::ConfigWanted(wanted) => relay::on_wanted(context, link, &wanted),
        Body::ConfigDelta(delta) => relay::on_delta(context, link, delta),
        Body::ConfigSnapshot(snapshot) => relay::on_snapshot(context, snapshot),
        Body::PoolOffer(offer) => homes::on_offer(context, link, offer, offers),
        Body::PoolOrder(order) => homes::on_order(context, peer, link, &order),
        Body::PoolReport(report) => {
            let is_over = matches!(
                report.report,
                Some(pool_report::Report::Done(_) | pool_report::Report::CallerGone(_))
            );
            if let Some(request) = request_of(&report.request).filter(|_| is_over) {
                offers.remove(&request);
            }
            homes::on_report(context, &report).await;
        }
        Body::KeyClaim(claim) => claims::on_claim(context, peer, link, claim),
        Body::KeyVerdict(verdict) => context.keys.on_verdict(&verdict),
        Body::KeyEnded(ended) => end_reports::on_ended(context, link, &ended),
        Body::KeyEndedHeard(heard) => context.keys.on_end_acknowledged(heard.claim),
        Body::Query(query) => fan_out::on_query(context, link, query),
        Body::QueryAnswer(answer) => context.queries.on_answer(peer, answer),
        // Only daemons of `bridgevane gateway` send these frames to each other.
        Body::RecordsWanted(_)
        | Body::RecordsAnswer(_)
        | Body::UsageReported(_)
        | Body::UsageHeard(_)
        | Body::ForwardingWanted(_)
        | Body::ForwardingAnswer(_)
        | Body::StreamsBegun(_)
        | Body::StreamsBegunHeard(_) => {}
    }
}
