//! Drives the membership of this data centre: by time, by heartbeats, by the platform's list.
//!
//! Owns nothing: the state is [`super::members`]', the rules are `bridgevane-coordination`'s.

use crate::modules::serve::context::Context;
use crate::modules::serve::leaving::LeavingSource;
use crate::modules::serve::peers::links::{LinkHandle, Peer};
use crate::modules::serve::peers::member_wire::{from_wire, to_wire};
use crate::modules::serve::pools::homes;
use bridgevane_adapters::{VmEntry, VmList};
use bridgevane_coordination::{MemberState, MemberUpdate, MembershipEffect};
use bridgevane_events::{Event, event};
use bridgevane_protocol::Heartbeat;
use bridgevane_protocol::frame::Body;
use bridgevane_types::{TimeMs, VmId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// How often the pure part sees time pass. Not measured, chosen because it is a fifth of a
/// heartbeat's interval.
const TICK: Duration = Duration::from_millis(200);
/// How often watchers read the platform's list, from the platform's rates: 14 calls a second for 7
/// data centres (docs/CAPACITY.md).
const LIST_EVERY: Duration = Duration::from_millis(1_000);
/// How often a seed that isn't a member yet is greeted. Not measured, chosen because daemons start
/// within seconds.
const SEED_EVERY: Duration = Duration::from_millis(1_000);
/// How often everything is sent to a neighbour whose view differs, in milliseconds. Not measured,
/// chosen because differences heal by ordinary heartbeats in seconds.
const SEND_ALL_EVERY_MS: u64 = 10_000;
/// How often daemons of other data centres are asked for their configuration's version, in
/// milliseconds. Not measured, chosen because a change must be in force within 5 s of a cut's end.
const REMOTE_EVERY_MS: u64 = 5_000;

/// This VM leaves or stays; the others hear of it at once.
pub(crate) fn set_leaving(context: &Arc<Context>, is_leaving: bool) {
    {
        let mut membership = context.members.lock();
        if is_leaving {
            membership.leave();
        } else {
            membership.stay();
        }
    }
    refresh(context);
    announce(context);
}

/// Who lives may have changed: takes it into the view, and passes over homes that are gone.
fn refresh(context: &Arc<Context>) {
    if context.members.refresh_view() {
        homes::on_membership_changed(context);
    }
}

fn heartbeat_of(context: &Context, updates: Vec<MemberUpdate>) -> Heartbeat {
    let (version, highest) = context.replica.versions();
    let members = &context.members;
    Heartbeat {
        sequence: members.sequence.fetch_add(1, Ordering::Relaxed),
        config_version: version.0,
        highest_config_version: highest.0,
        members_digest: members.lock().digest(),
        updates: updates.into_iter().map(to_wire).collect(),
    }
}

/// Whether it is time again, at most once in `every_ms`.
fn is_due(last_at: &AtomicU64, now: TimeMs, every_ms: u64) -> bool {
    let last = last_at.load(Ordering::Relaxed);
    if last != 0 && now.0 < last + every_ms {
        return false;
    }
    last_at.store(now.0.max(1), Ordering::Relaxed);
    true
}

/// Drives the membership until the daemon ends.
pub async fn run(context: Arc<Context>) {
    tokio::spawn(greet_seeds(context.clone()));
    tokio::spawn(read_list(context.clone()));
    loop {
        tokio::time::sleep(TICK).await;
        let mut effects = Vec::new();
        context.members.lock().tick(context.now(), &mut effects);
        carry_out(&context, effects);
        ask_far(&context);
    }
}

fn carry_out(context: &Arc<Context>, effects: Vec<MembershipEffect>) {
    let mut is_changed = false;
    for effect in effects {
        match effect {
            MembershipEffect::Heartbeat { address, .. } => send_heartbeat(context, address),
            MembershipEffect::Changed { vm, state } => {
                is_changed = true;
                event!(Event::MemberChanged, vm = vm, state = state);
                if state == MemberState::Dead {
                    context.keys.member_lost(context.now(), &vm);
                }
            }
            MembershipEffect::Superseded => {
                event!(Event::Superseded, vm = context.config.vm);
                context.leaving.begin(LeavingSource::Superseded);
            }
            MembershipEffect::LeavingRequested => {
                context.leaving.begin(LeavingSource::VmList);
                set_leaving(context, true);
            }
        }
    }
    if is_changed {
        refresh(context);
    }
}

fn send_heartbeat(context: &Arc<Context>, address: SocketAddr) {
    let updates = context.members.lock().updates();
    let heartbeat = heartbeat_of(context, updates);
    context.links.to(address).send(Body::Heartbeat(heartbeat));
}

/// Sends heartbeats now, to neighbours and a few others: news travels without waiting.
pub(crate) fn announce(context: &Arc<Context>) {
    /// Not measured, chosen because neighbours pass news on; two more reach the far side of the
    /// ring sooner.
    const OTHERS: usize = 2;
    let mut addresses: Vec<SocketAddr> = Vec::new();
    {
        let membership = context.members.lock();
        let neighbours = membership.neighbours();
        let live: Vec<VmId> = membership.live();
        let mut others: Vec<&VmId> = live.iter().filter(|vm| !neighbours.contains(vm)).collect();
        for _ in 0..OTHERS.min(others.len()) {
            let at = rand::random_range(0..others.len());
            addresses.extend(membership.address_of(others.swap_remove(at)));
        }
        addresses.extend(neighbours.iter().filter_map(|vm| membership.address_of(vm)));
    }
    for address in addresses {
        send_heartbeat(context, address);
    }
}

/// A heartbeat came: answer it.
pub(crate) fn on_heartbeat(
    context: &Arc<Context>,
    peer: &Peer,
    link: &LinkHandle,
    heartbeat: Heartbeat,
) {
    let is_new = take(context, peer, link, &heartbeat);
    let differs = heartbeat.members_digest != context.members.lock().digest();
    let now = context.now();
    let is_near = peer.data_centre == context.config.data_centre;
    let tells_all = is_near
        && (is_new || differs && is_due(&context.members.sent_all_at, now, SEND_ALL_EVERY_MS));
    let updates = match (is_near, tells_all) {
        (false, _) => Vec::new(),
        (true, true) => context.members.lock().all_updates(),
        (true, false) => context.members.lock().updates(),
    };
    let ack = heartbeat_of(context, updates);
    link.send(Body::HeartbeatAck(ack));
}

/// A heartbeat was answered.
pub(crate) fn on_ack(context: &Arc<Context>, peer: &Peer, link: &LinkHandle, heartbeat: Heartbeat) {
    take(context, peer, link, &heartbeat);
    context.replica.note_contact();
}

/// Takes what a heartbeat tells; true when its sender is new here.
fn take(context: &Arc<Context>, peer: &Peer, link: &LinkHandle, heartbeat: &Heartbeat) -> bool {
    if let Some(wanted) = context.replica.hear(heartbeat) {
        link.send(Body::ConfigWanted(wanted));
    }
    if peer.data_centre != context.config.data_centre {
        return false;
    }
    let now = context.now();
    let mut effects = Vec::new();
    let is_new = {
        let mut membership = context.members.lock();
        let known = membership.members().find(|(vm, _)| **vm == peer.vm);
        let is_new = known.is_none_or(|(_, member)| member.incarnation != peer.incarnation);
        membership.hear(now, &peer.vm, peer.address, peer.incarnation, &mut effects);
        let updates = heartbeat.updates.iter().filter_map(from_wire).collect();
        membership.receive(now, updates, &mut effects);
        is_new
    };
    carry_out(context, effects);
    is_new
}

/// Greets the daemons that the settings name until they are members.
async fn greet_seeds(context: Arc<Context>) {
    loop {
        for seed in context.config.peers.seeds.clone() {
            let is_member = context
                .members
                .known()
                .iter()
                .any(|(_, state, _, address)| *address == seed && *state != MemberState::Dead);
            if !is_member && seed != context.config.peers.address {
                send_heartbeat(&context, seed);
            }
        }
        tokio::time::sleep(SEED_EVERY).await;
    }
}

/// Reads the platform's list, where this daemon is a watcher.
async fn read_list(context: Arc<Context>) {
    loop {
        let pause = rand::random_range(0.8..1.2);
        tokio::time::sleep(LIST_EVERY.mul_f64(pause)).await;
        if !context.members.is_watcher() || !context.replica.may_call(context.now()) {
            continue;
        }
        context.metrics.platform_call("list");
        match context.platform.list().await {
            Ok(list) => {
                context.replica.call_succeeded();
                take_list(&context, list);
            }
            Err(error) => context.replica.call_failed(context.now(), &error),
        }
    }
}

fn take_list(context: &Arc<Context>, list: Vec<VmEntry>) {
    let now = context.now();
    let mut effects = Vec::new();
    let mut newly_leaving = Vec::new();
    let is_near = |entry: &&VmEntry| entry.data_centre == context.config.data_centre;
    for entry in list.iter().filter(is_near) {
        if entry.vm == context.config.vm {
            if entry.leaving && !context.leaving.is_leaving() {
                effects.push(MembershipEffect::LeavingRequested);
            }
            continue;
        }
        let mut membership = context.members.lock();
        membership.relearn(now, &entry.vm, entry.peer_address);
        if entry.leaving && membership.mark_leaving(now, &entry.vm, &mut effects) {
            newly_leaving.push(entry.peer_address);
        }
    }
    carry_out(context, effects);
    refresh(context);
    // A heartbeat says so to the VM that leaves, since its own list may be further behind.
    for address in newly_leaving {
        send_heartbeat(context, address);
    }
    let near: Vec<VmId> = list
        .iter()
        .filter(is_near)
        .map(|entry| entry.vm.clone())
        .collect();
    context.keys.listed(now, &near);
    context.members.listed.store(Arc::new(list));
}

/// Asks one daemon of each other data centre for its configuration's version: a data centre
/// that is cut off from the platform learns it from one that isn't.
fn ask_far(context: &Arc<Context>) {
    let members = &context.members;
    let is_due = is_due(&members.asked_remote_at, context.now(), REMOTE_EVERY_MS);
    if !is_due || !members.is_watcher() {
        return;
    }
    let listed = members.listed.load_full();
    let mut asked = Vec::new();
    let start = rand::random_range(0..listed.len().max(1));
    for entry in listed.iter().cycle().skip(start).take(listed.len()) {
        let is_far = entry.data_centre != context.config.data_centre;
        if is_far && !entry.leaving && !asked.contains(&&entry.data_centre) {
            asked.push(&entry.data_centre);
            let heartbeat = heartbeat_of(context, Vec::new());
            context
                .links
                .to(entry.peer_address)
                .send(Body::Heartbeat(heartbeat));
        }
    }
}
