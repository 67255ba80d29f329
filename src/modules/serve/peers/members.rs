//! The membership of this data centre: the state that all parts of the daemon read.
//!
//! Owns the membership state machine behind a lock, and a view of it that requests read without a
//! lock. [`super::membership`] drives it.

use arc_swap::ArcSwap;
use bridgevane_adapters::VmEntry;
use bridgevane_coordination::configs::MembershipConfig;
use bridgevane_coordination::{KeyMember, MemberState, Membership, home_of};
use bridgevane_types::{Incarnation, TimeMs, VmId};
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The number of daemons of a data centre that call the platform for all. The second one continues
/// when the first dies; more would cost calls.
const WATCHERS: usize = 2;

/// The live members, as the path of a request reads them.
#[derive(Debug, Default)]
pub struct LiveView {
    /// The live VMs that accept requests.
    pub live: Vec<VmId>,
    /// The same VMs with their incarnations, for the homes of keys.
    pub key_members: Vec<KeyMember>,
}

impl LiveView {
    fn of_membership(membership: &Membership) -> Self {
        let live = membership.live_vms();
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
    own_vm: VmId,
    membership: Mutex<Membership>,
    view: ArcSwap<LiveView>,
    /// When all updates were last sent to a daemon whose view differs, in milliseconds; 0: never.
    pub(super) full_state_sent_at: AtomicU64,
    /// The sequence number of the next heartbeat.
    pub(super) sequence: AtomicU64,
    /// The newest list of VMs from the platform.
    pub(super) platform_list: ArcSwap<Vec<VmEntry>>,
    /// When other data centres were last polled, in milliseconds; 0: never.
    pub(super) remote_polled_at: AtomicU64,
}

impl Members {
    /// Creates the state of a daemon that knows no other member yet.
    pub fn new(vm: VmId, address: SocketAddr, incarnation: Incarnation) -> Self {
        let config = MembershipConfig::default();
        let membership = Membership::new(config, vm.clone(), address, incarnation, TimeMs(0));
        let members = Self {
            own_vm: vm,
            membership: Mutex::new(membership),
            view: ArcSwap::default(),
            full_state_sent_at: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            platform_list: ArcSwap::default(),
            remote_polled_at: AtomicU64::new(0),
        };
        let view = LiveView::of_membership(&members.lock());
        members.view.store(Arc::new(view));
        members
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Membership> {
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the live VMs that accept requests.
    pub fn live(&self) -> Arc<LiveView> {
        self.view.load_full()
    }

    /// Returns the home of a key and its address; `None` when it is this daemon, or when its address
    /// isn't known.
    pub(crate) fn remote_home(&self, key: &str) -> Option<(VmId, SocketAddr)> {
        let view = self.view.load();
        let home = home_of(key, view.live.iter())?;
        if *home == self.own_vm {
            return None;
        }
        let address = self.lock().address_of(home)?;
        Some((home.clone(), address))
    }

    /// Returns the address on which a VM's daemon listens for other daemons.
    pub fn address_of(&self, vm: &VmId) -> Option<SocketAddr> {
        self.lock().address_of(vm)
    }

    /// Returns all known VMs except this one, with state, incarnation and address.
    pub fn other_members(&self) -> Vec<(VmId, MemberState, Incarnation, SocketAddr)> {
        let membership = self.lock();
        let known = membership.members();
        known
            .map(|(vm, m)| (vm.clone(), m.state, m.incarnation, m.address))
            .collect()
    }

    /// Whether this daemon is one of the watchers, which call the platform for the data centre.
    pub(crate) fn is_watcher(&self) -> bool {
        let view = self.view.load();
        let mut candidates: Vec<&VmId> = view.live.iter().collect();
        for _ in 0..WATCHERS {
            let Some(watcher) = home_of("platform-watch", candidates.iter().copied()).cloned()
            else {
                return true;
            };
            if watcher == self.own_vm {
                return true;
            }
            candidates.retain(|vm| **vm != watcher);
        }
        false
    }

    /// Updates the view from the membership; false when nothing has changed.
    pub(super) fn refresh_view(&self) -> bool {
        let view = LiveView::of_membership(&self.lock());
        if self.view.load().key_members == view.key_members {
            return false;
        }
        self.view.store(Arc::new(view));
        true
    }
}
