//! The membership of this data centre: the pure part driven by time and by frames.

use crate::modules::serve::configuration::relay;
use crate::modules::serve::context::Context;
use crate::modules::serve::leaving::LeavingSource;
use crate::modules::serve::peers::links::{LinkHandle, Peer};
use arc_swap::ArcSwap;
use bridgevane_adapters::{VmEntry, VmList};
use bridgevane_coordination::configs::MembershipConfig;
use bridgevane_coordination::{
    KeyMember, MemberState, MemberUpdate, Membership, MembershipEffect, home_of,
};
use bridgevane_events::{Event, event};
use bridgevane_protocol::frame::Body;
use bridgevane_protocol::{Heartbeat, MemberState as WireState, MemberUpdate as WireUpdate};
use bridgevane_types::{Incarnation, TimeMs, VmId};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How often the pure part sees time pass.
const TICK: Duration = Duration::from_millis(200);
/// How often watchers read the platform's list.
const LIST_EVERY: Duration = Duration::from_millis(1_000);
/// How often a seed that isn't a member yet is greeted.
const SEED_EVERY: Duration = Duration::from_millis(1_000);
/// Watchers of the platform in a data centre.
const WATCHERS: usize = 2;
/// How often everything is told to a neighbour whose view differs.
const TELL_ALL_EVERY_MS: u64 = 10_000;
/// How often daemons of other data centres are asked for their configuration's version.
const FAR_EVERY_MS: u64 = 5_000;

/// Who lives, as the path of a request reads it.
#[derive(Debug, Default)]
pub struct LiveView {
    /// Live VMs that take work.
    pub live: Vec<VmId>,
    /// The same with their lives, for the homes of keys.
    pub key_members: Vec<KeyMember>,
}

impl LiveView {
    fn of(membership: &Membership) -> Self {
        let live = membership.live();
        let incarnations = membership.live_incarnations();
        let member = |(vm, incarnation): (&VmId, Incarnation)| KeyMember {
            vm: vm.clone(),
            incarnation,
        };
        let key_members = live.iter().zip(incarnations).map(member).collect();
        Self { live, key_members }
    }
}

/// The membership of this data centre.
pub struct Members {
    membership: Mutex<Membership>,
    view: ArcSwap<LiveView>,
    told_all_at: AtomicU64,
    sequence: AtomicU64,
    listed: ArcSwap<Vec<VmEntry>>,
    far_at: AtomicU64,
}

impl Members {
    /// A daemon that knows nobody yet.
    pub fn new(vm: VmId, address: SocketAddr, incarnation: Incarnation) -> Self {
        let config = MembershipConfig::default();
        let membership = Membership::new(config, vm, address, incarnation, TimeMs(0));
        let members = Self {
            membership: Mutex::new(membership),
            view: ArcSwap::default(),
            told_all_at: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            listed: ArcSwap::default(),
            far_at: AtomicU64::new(0),
        };
        let view = LiveView::of(&members.lock());
        members.view.store(Arc::new(view));
        members
    }

    fn lock(&self) -> MutexGuard<'_, Membership> {
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Live VMs that take work.
    pub fn live(&self) -> Arc<LiveView> {
        self.view.load_full()
    }

    /// The home of a key, and where it listens; none: this daemon itself.
    pub fn remote_home(&self, context: &Context, key: &str) -> Option<(VmId, SocketAddr)> {
        let view = self.view.load();
        let home = home_of(key, view.live.iter())?;
        if *home == context.config.vm {
            return None;
        }
        let address = self.lock().address_of(home)?;
        Some((home.clone(), address))
    }

    /// Where a VM listens.
    pub fn address_of(&self, vm: &VmId) -> Option<SocketAddr> {
        self.lock().address_of(vm)
    }

    /// All known VMs with what they are, this one left out.
    pub fn known(&self) -> Vec<(VmId, MemberState, Incarnation, SocketAddr)> {
        let membership = self.lock();
        let known = membership.members();
        known
            .map(|(vm, m)| (vm.clone(), m.state, m.incarnation, m.address))
            .collect()
    }

    /// Whether this daemon is one of those that call the platform for its data centre.
    pub fn is_watcher(&self, context: &Context) -> bool {
        let view = self.view.load();
        let mut rest: Vec<&VmId> = view.live.iter().collect();
        for _ in 0..WATCHERS {
            let Some(watcher) = home_of("platform-watch", rest.iter().copied()).cloned() else {
                return true;
            };
            if watcher == context.config.vm {
                return true;
            }
            rest.retain(|vm| **vm != watcher);
        }
        false
    }

    /// This VM leaves or stays; the others hear of it at once.
    pub fn set_leaving(&self, context: &Arc<Context>, is_leaving: bool) {
        {
            let mut membership = self.lock();
            if is_leaving {
                membership.leave();
            } else {
                membership.stay();
            }
        }
        self.refresh(context);
        announce(context);
    }

    fn refresh(&self, context: &Arc<Context>) {
        let view = LiveView::of(&self.lock());
        if self.view.load().key_members != view.key_members {
            self.view.store(Arc::new(view));
            context.homes.membership_changed(context);
        }
    }

    fn heartbeat(&self, context: &Context, updates: Vec<MemberUpdate>) -> Heartbeat {
        let (version, highest) = context.replica.versions();
        Heartbeat {
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            config_version: version.0,
            highest_config_version: highest.0,
            members_digest: self.lock().digest(),
            updates: updates.into_iter().map(to_wire).collect(),
        }
    }

    /// Whether it is time again, at most once in `every_ms`.
    fn is_due(at: &AtomicU64, now: TimeMs, every_ms: u64) -> bool {
        let last = at.load(Ordering::Relaxed);
        if last != 0 && now.0 < last + every_ms {
            return false;
        }
        at.store(now.0.max(1), Ordering::Relaxed);
        true
    }
}

fn to_wire(update: MemberUpdate) -> WireUpdate {
    let state = match update.state {
        MemberState::Alive => WireState::Alive,
        MemberState::Leaving => WireState::Leaving,
        MemberState::Suspect => WireState::Suspect,
        MemberState::Dead => WireState::Dead,
    };
    WireUpdate {
        vm: update.vm.to_string(),
        peer_address: update.address.to_string(),
        incarnation: update.incarnation.0,
        refutation: update.refutation,
        state: state.into(),
        accuser: update.accuser.map(|vm| vm.to_string()).unwrap_or_default(),
    }
}

fn from_wire(update: &WireUpdate) -> Option<MemberUpdate> {
    let state = match update.state() {
        WireState::Unspecified => return None,
        WireState::Alive => MemberState::Alive,
        WireState::Leaving => MemberState::Leaving,
        WireState::Suspect => MemberState::Suspect,
        WireState::Dead => MemberState::Dead,
    };
    Some(MemberUpdate {
        vm: VmId::new(&update.vm),
        address: update.peer_address.parse().ok()?,
        incarnation: Incarnation(update.incarnation),
        refutation: update.refutation,
        state,
        accuser: (!update.accuser.is_empty()).then(|| VmId::new(&update.accuser)),
    })
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
            MembershipEffect::ToldToLeave => {
                context.leaving.begin(LeavingSource::VmList);
                context.members.set_leaving(context, true);
            }
        }
    }
    if is_changed {
        context.members.refresh(context);
    }
}

fn send_heartbeat(context: &Arc<Context>, address: SocketAddr) {
    let updates = context.members.lock().updates();
    let heartbeat = context.members.heartbeat(context, updates);
    context
        .links
        .to(context, address)
        .send(Body::Heartbeat(heartbeat));
}

/// Sends heartbeats now, to neighbours and a few others: news travels without waiting.
pub fn announce(context: &Arc<Context>) {
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
pub fn on_heartbeat(context: &Arc<Context>, peer: &Peer, link: &LinkHandle, heartbeat: Heartbeat) {
    let is_new = take(context, peer, link, &heartbeat);
    let differs = heartbeat.members_digest != context.members.lock().digest();
    let now = context.now();
    let is_near = peer.data_centre == context.config.data_centre;
    let tells_all = is_near
        && (is_new
            || differs && Members::is_due(&context.members.told_all_at, now, TELL_ALL_EVERY_MS));
    let updates = match (is_near, tells_all) {
        (false, _) => Vec::new(),
        (true, true) => context.members.lock().all_updates(),
        (true, false) => context.members.lock().updates(),
    };
    let ack = context.members.heartbeat(context, updates);
    link.send(Body::HeartbeatAck(ack));
}

/// A heartbeat was answered.
pub fn on_ack(context: &Arc<Context>, peer: &Peer, link: &LinkHandle, heartbeat: Heartbeat) {
    take(context, peer, link, &heartbeat);
    context.replica.note_contact();
}

/// Takes what a heartbeat tells; true when its sender is new here.
fn take(context: &Arc<Context>, peer: &Peer, link: &LinkHandle, heartbeat: &Heartbeat) -> bool {
    relay::hear(context, link, heartbeat);
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
        if !context.members.is_watcher(&context) || !context.replica.may_call(&context) {
            continue;
        }
        context.metrics.platform_call("list");
        match context.platform.list().await {
            Ok(list) => {
                context.replica.call_succeeded();
                take_list(&context, list);
            }
            Err(error) => context.replica.call_failed(&context, &error),
        }
    }
}

fn take_list(context: &Arc<Context>, list: Vec<VmEntry>) {
    let now = context.now();
    let mut effects = Vec::new();
    let mut told = Vec::new();
    let is_near = |entry: &&VmEntry| entry.data_centre == context.config.data_centre;
    for entry in list.iter().filter(is_near) {
        if entry.vm == context.config.vm {
            if entry.leaving && !context.leaving.is_leaving() {
                effects.push(MembershipEffect::ToldToLeave);
            }
            continue;
        }
        let mut membership = context.members.lock();
        membership.relearn(now, &entry.vm, entry.peer_address);
        if entry.leaving && membership.mark_leaving(now, &entry.vm, &mut effects) {
            told.push(entry.peer_address);
        }
    }
    carry_out(context, effects);
    context.members.refresh(context);
    // The VM that leaves is told by us: its own list may be further behind.
    for address in told {
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
    let is_due = Members::is_due(&members.far_at, context.now(), FAR_EVERY_MS);
    if !is_due || !members.is_watcher(context) {
        return;
    }
    let listed = members.listed.load_full();
    let mut asked = Vec::new();
    let start = rand::random_range(0..listed.len().max(1));
    for entry in listed.iter().cycle().skip(start).take(listed.len()) {
        let is_far = entry.data_centre != context.config.data_centre;
        if is_far && !entry.leaving && !asked.contains(&&entry.data_centre) {
            asked.push(&entry.data_centre);
            let heartbeat = members.heartbeat(context, Vec::new());
            context
                .links
                .to(context, entry.peer_address)
                .send(Body::Heartbeat(heartbeat));
        }
    }
}
