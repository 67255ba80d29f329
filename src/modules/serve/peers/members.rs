//! Who lives in this data centre, as all parts of the daemon read it.
//!
//! Owns the pure membership behind a lock, and a view of it that requests read without one. What
//! drives it is [`super::membership`].

use arc_swap::ArcSwap;
use bridgevane_adapters::VmEntry;
use bridgevane_coordination::configs::MembershipConfig;
use bridgevane_coordination::{KeyMember, MemberState, Membership, home_of};
use bridgevane_types::{Incarnation, TimeMs, VmId};
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Daemons of a data centre that call the platform for all. Chosen because the second one goes on
/// when the first dies; more cost calls.
const WATCHERS: usize = 2;

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
    own_vm: VmId,
    membership: Mutex<Membership>,
    view: ArcSwap<LiveView>,
    /// When everything was last sent to a neighbour whose view differs, in milliseconds; 0: never.
    pub(super) sent_all_at: AtomicU64,
    /// Heartbeats sent.
    pub(super) sequence: AtomicU64,
    /// The platform's newest list.
    pub(super) listed: ArcSwap<Vec<VmEntry>>,
    /// When other data centres were last asked, in milliseconds; 0: never.
    pub(super) asked_remote_at: AtomicU64,
}

impl Members {
    /// A daemon that knows nobody yet.
    pub fn new(vm: VmId, address: SocketAddr, incarnation: Incarnation) -> Self {
        let config = MembershipConfig::default();
        let membership = Membership::new(config, vm.clone(), address, incarnation, TimeMs(0));
        let members = Self {
            own_vm: vm,
            membership: Mutex::new(membership),
            view: ArcSwap::default(),
            sent_all_at: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            listed: ArcSwap::default(),
            asked_remote_at: AtomicU64::new(0),
        };
        let view = LiveView::of(&members.lock());
        members.view.store(Arc::new(view));
        members
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Membership> {
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Live VMs that take work.
    pub fn live(&self) -> Arc<LiveView> {
        self.view.load_full()
    }

    /// The home of a key, and where it listens; none: this daemon itself.
    pub(crate) fn remote_home(&self, key: &str) -> Option<(VmId, SocketAddr)> {
        let view = self.view.load();
        let home = home_of(key, view.live.iter())?;
        if *home == self.own_vm {
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
    pub(crate) fn is_watcher(&self) -> bool {
        let view = self.view.load();
        let mut rest: Vec<&VmId> = view.live.iter().collect();
        for _ in 0..WATCHERS {
            let Some(watcher) = home_of("platform-watch", rest.iter().copied()).cloned() else {
                return true;
            };
            if watcher == self.own_vm {
                return true;
            }
            rest.retain(|vm| **vm != watcher);
        }
        false
    }

    /// Takes what has changed into the view; false when it is the same.
    pub(super) fn refresh_view(&self) -> bool {
        let view = LiveView::of(&self.lock());
        if self.view.load().key_members == view.key_members {
            return false;
        }
        self.view.store(Arc::new(view));
        true
    }
}
