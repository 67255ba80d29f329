//! Drives the membership of this data centre: by ticks, heartbeats and the platform's list of VMs.
//!
//! Owns nothing: [`super::members`] holds the state, `bridgevane-coordination` has the rules.

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

/// The interval of the membership's ticks: a fifth of the heartbeat interval.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// The interval at which watchers read the platform's list. It follows from the platform's rates:
/// 14 calls per second for 7 data centres (docs/CAPACITY.md).
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// The interval of heartbeats to a seed that isn't a member yet. Daemons start within seconds.
const SEED_INTERVAL: Duration = Duration::from_millis(1_000);
/// The minimum interval between full states that are sent to daemons whose view differs, in
/// milliseconds. Ordinary heartbeats resolve differences within seconds.
const FULL_STATE_INTERVAL_MS: u64 = 10_000;
/// The interval at which daemons of other data centres are polled for their configuration version,
/// in milliseconds. A change must be in force within 5 s of the end of a network partition.
const REMOTE_POLL_INTERVAL_MS: u64 = 5_000;

/// Marks this VM as leaving or staying, and informs other daemons at once.
pub(crate) fn set_leaving(context: &Arc<Context>, is_leaving: bool) {
    {
        let mut membership = context.members.lock();
        if is_leaving {
            membership.start_leaving();
        } else {
            membership.cancel_leaving();
        }
    }
    refresh(context);
    announce(context);
}

/// Updates the view of the live members, and bypasses homes that are gone.
fn refresh(context: &Arc<Context>) {
    if context.members.refresh_view() {
        homes::on_membership_changed(context);
    }
}

fn new_heartbeat(context: &Context, updates: Vec<MemberUpdate>) -> Heartbeat {
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

/// Whether `every_ms` has passed since `last_at`; if so, `last_at` becomes `now`.
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
    tokio::spawn(contact_seeds(context.clone()));
    tokio::spawn(poll_list(context.clone()));
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        let mut effects = Vec::new();
        context.members.lock().tick(context.now(), &mut effects);
        execute(&context, effects);
        poll_other_data_centres(&context);
    }
}

fn execute(context: &Arc<Context>, effects: Vec<MembershipEffect>) {
    let mut is_changed = false;
    for effect in effects {
        match effect {
            MembershipEffect::Heartbeat { address, .. } => send_heartbeat(context, address),
            MembershipEffect::Changed { vm, state } => {
                is_changed = true;
                event!(Event::MemberChanged, vm = vm, state = state);
                if state == MemberState::Dead {
                    context.keys.record_lost_member(context.now(), &vm);
                }
            }
            MembershipEffect::Superseded => {
                event!(Event::Superseded, vm = context.config.vm);
                context.leaving.add_reason(LeavingSource::Superseded);
            }
            MembershipEffect::LeavingRequested => {
                context.leaving.add_reason(LeavingSource::VmList);
                set_leaving(context, true);
            }
        }
    }
    if is_changed {
        refresh(context);
    }
}

fn send_heartbeat(context: &Arc<Context>, address: SocketAddr) {
    let updates = context.members.lock().next_updates();
    let heartbeat = new_heartbeat(context, updates);
    context
        .links
        .link_to(address)
        .send(Body::Heartbeat(heartbeat));
}

/// Sends heartbeats at once to the neighbours and a few other daemons, to spread a change quickly.
pub(crate) fn announce(context: &Arc<Context>) {
    /// The number of daemons that get a heartbeat in addition to the neighbours. The neighbours
    /// forward changes; two more daemons spread them faster to the far side of the ring.
    const OTHER_DAEMONS: usize = 2;
    let mut addresses: Vec<SocketAddr> = Vec::new();
    {
        let membership = context.members.lock();
        let neighbours = membership.neighbours();
        let live: Vec<VmId> = membership.live_vms();
        let mut others: Vec<&VmId> = live.iter().filter(|vm| !neighbours.contains(vm)).collect();
        for _ in 0..OTHER_DAEMONS.min(others.len()) {
            let at = rand::random_range(0..others.len());
            addresses.extend(membership.address_of(others.swap_remove(at)));
        }
        addresses.extend(neighbours.iter().filter_map(|vm| membership.address_of(vm)));
    }
    for address in addresses {
        send_heartbeat(context, address);
    }
}

/// Applies a heartbeat and answers it.
pub(crate) fn on_heartbeat(
    context: &Arc<Context>,
    peer: &Peer,
    link: &LinkHandle,
    heartbeat: Heartbeat,
) {
    let is_new = apply_heartbeat(context, peer, link, &heartbeat);
    let differs = heartbeat.members_digest != context.members.lock().digest();
    let now = context.now();
    let is_same_data_centre = peer.data_centre == context.config.data_centre;
    let sends_full_state = is_same_data_centre
        && (is_new
            || differs
                && is_due(
                    &context.members.full_state_sent_at,
                    now,
                    FULL_STATE_INTERVAL_MS,
                ));
    let updates = match (is_same_data_centre, sends_full_state) {
        (false, _) => Vec::new(),
        (true, true) => context.members.lock().all_updates(),
        (true, false) => context.members.lock().next_updates(),
    };
    let ack = new_heartbeat(context, updates);
    link.send(Body::HeartbeatAck(ack));
}

/// Applies the answer to a heartbeat.
pub(crate) fn on_ack(context: &Arc<Context>, peer: &Peer, link: &LinkHandle, heartbeat: Heartbeat) {
    apply_heartbeat(context, peer, link, &heartbeat);
    context.replica.note_contact();
}

/// Applies the versions and updates of a heartbeat; returns whether its sender is a new member.
fn apply_heartbeat(
    context: &Arc<Context>,
    peer: &Peer,
    link: &LinkHandle,
    heartbeat: &Heartbeat,
) -> bool {
    if let Some(wanted) = context.replica.observe_versions(heartbeat) {
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
        membership.record_contact(now, &peer.vm, peer.address, peer.incarnation, &mut effects);
        let updates = heartbeat.updates.iter().filter_map(from_wire).collect();
        membership.apply_updates(now, updates, &mut effects);
        is_new
    };
    execute(context, effects);
    is_new
}

/// Sends heartbeats to the seeds of the settings until they are members.
async fn contact_seeds(context: Arc<Context>) {
    loop {
        for seed in context.config.peers.seeds.clone() {
            let is_member = context
                .members
                .other_members()
                .iter()
                .any(|(_, state, _, address)| *address == seed && *state != MemberState::Dead);
            if !is_member && seed != context.config.peers.address {
                send_heartbeat(&context, seed);
            }
        }
        tokio::time::sleep(SEED_INTERVAL).await;
    }
}

/// Polls the platform's list of VMs while this daemon is a watcher.
async fn poll_list(context: Arc<Context>) {
    loop {
        let pause = rand::random_range(0.8..1.2);
        tokio::time::sleep(LIST_INTERVAL.mul_f64(pause)).await;
        if !context.members.is_watcher() || !context.replica.try_acquire_call(context.now()) {
            continue;
        }
        context.metrics.count_platform_call("list");
        match context.platform.list().await {
            Ok(list) => {
                context.replica.call_succeeded();
                apply_list(&context, list);
            }
            Err(error) => context.replica.call_failed(context.now(), &error),
        }
    }
}

/// Applies the platform's list of VMs.
fn apply_list(context: &Arc<Context>, list: Vec<VmEntry>) {
    let now = context.now();
    let mut effects = Vec::new();
    let mut newly_leaving = Vec::new();
    let is_same_data_centre = |entry: &&VmEntry| entry.data_centre == context.config.data_centre;
    for entry in list.iter().filter(is_same_data_centre) {
        if entry.vm == context.config.vm {
            if entry.leaving && !context.leaving.is_leaving() {
                effects.push(MembershipEffect::LeavingRequested);
            }
            continue;
        }
        let mut membership = context.members.lock();
        membership.add_or_retry_listed(now, &entry.vm, entry.peer_address);
        if entry.leaving && membership.mark_leaving(now, &entry.vm, &mut effects) {
            newly_leaving.push(entry.peer_address);
        }
    }
    execute(context, effects);
    refresh(context);
    // A heartbeat informs the leaving VM too, since its own list may be older.
    for address in newly_leaving {
        send_heartbeat(context, address);
    }
    let local_vms: Vec<VmId> = list
        .iter()
        .filter(is_same_data_centre)
        .map(|entry| entry.vm.clone())
        .collect();
    context.keys.apply_vm_list(now, &local_vms);
    context.members.platform_list.store(Arc::new(list));
}

/// Polls one daemon of each other data centre for its configuration version: a data centre that is
/// cut off from the platform learns the version from one that isn't.
fn poll_other_data_centres(context: &Arc<Context>) {
    let members = &context.members;
    let is_due = is_due(
        &members.remote_polled_at,
        context.now(),
        REMOTE_POLL_INTERVAL_MS,
    );
    if !is_due || !members.is_watcher() {
        return;
    }
    let listed = members.platform_list.load_full();
    let mut polled = Vec::new();
    let start = rand::random_range(0..listed.len().max(1));
    for entry in listed.iter().cycle().skip(start).take(listed.len()) {
        let is_remote = entry.data_centre != context.config.data_centre;
        if is_remote && !entry.leaving && !polled.contains(&&entry.data_centre) {
            polled.push(&entry.data_centre);
            let heartbeat = new_heartbeat(context, Vec::new());
            context
                .links
                .link_to(entry.peer_address)
                .send(Body::Heartbeat(heartbeat));
        }
    }
}
