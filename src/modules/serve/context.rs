//! The state of `serve`: one owner a concern, handed down instead of globals.
//!
//! It knows the owners; no owner knows it. What acts on them (the modules that take a context) uses
//! each other one way only.

use crate::configs::serve::ServeConfig;
use crate::modules::serve::configuration::in_force::ConfigInForce;
use crate::modules::serve::configuration::replica::ConfigCopy;
use crate::modules::serve::keys::key_homes::KeyHomes;
use crate::modules::serve::leaving::Leaving;
use crate::modules::serve::observation::burn::Burn;
use crate::modules::serve::observation::metrics::Metrics;
use crate::modules::serve::operators::queries::Queries;
use crate::modules::serve::peers::links::{Dial, PeerLinks};
use crate::modules::serve::peers::members::Members;
use crate::modules::serve::pools::directory::PoolDirectory;
use crate::modules::serve::pools::remote_requests::RemoteRequests;
use crate::modules::serve::rollouts::held::Rollouts;
use bridgevane_adapters::HttpPlatform;
use bridgevane_coordination::KeyMember;
use bridgevane_types::{Incarnation, RequestId, TimeMs, boot_time};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::mpsc::UnboundedReceiver;

/// The daemon's shared state. Everything behind it is read without locks on the path of a
/// request.
pub struct Context {
    /// Settings.
    pub config: ServeConfig,
    /// The platform.
    pub platform: HttpPlatform,
    /// The operators' configuration in force here.
    pub in_force: ConfigInForce,
    /// Pools of all services.
    pub pools: PoolDirectory,
    /// The configuration as it goes between daemons.
    pub replica: ConfigCopy,
    /// Who lives in this data centre.
    pub members: Members,
    /// Connections to other daemons.
    pub links: PeerLinks,
    /// Requests that other daemons decide on.
    pub homes: RemoteRequests,
    /// Idempotency keys.
    pub keys: KeyHomes,
    /// Rollouts that this daemon carries out.
    pub rollouts: Rollouts,
    /// Operators' statements under way.
    pub queries: Queries,
    /// Metrics.
    pub metrics: Metrics,
    /// Service levels by class.
    pub burn: Burn,
    /// Whether this VM leaves.
    pub leaving: Leaving,
    /// This life of the VM.
    pub incarnation: Incarnation,
    started: TimeMs,
    next_request: AtomicU64,
}

impl Context {
    /// The state of a daemon that has just started, and the connections to daemons that it will ask
    /// for.
    pub fn new(
        config: ServeConfig,
        incarnation: Incarnation,
    ) -> (Arc<Self>, UnboundedReceiver<Dial>) {
        let (links, dials) = PeerLinks::new();
        let seed = incarnation.0 ^ xxhash_rust::xxh3::xxh3_64(config.vm.as_str().as_bytes());
        let own = KeyMember {
            vm: config.vm.clone(),
            incarnation,
        };
        let context = Arc::new(Self {
            platform: HttpPlatform::new(config.platform_address),
            in_force: ConfigInForce::default(),
            pools: PoolDirectory::default(),
            replica: ConfigCopy::new(seed),
            members: Members::new(config.vm.clone(), config.peers.address, incarnation),
            links,
            homes: RemoteRequests::default(),
            keys: KeyHomes::new(own, TimeMs(0)),
            rollouts: Rollouts::default(),
            queries: Queries::default(),
            metrics: Metrics::new(),
            burn: Burn::default(),
            leaving: Leaving::default(),
            incarnation,
            started: boot_time(),
            next_request: AtomicU64::new(0),
            config,
        });
        (context, dials)
    }

    /// Now, as the pure parts see it: by the clock that counts a suspension of the VM, so that
    /// leases, keys and members age through it as through a stop of the process.
    pub fn now(&self) -> TimeMs {
        TimeMs(boot_time().since(self.started).0)
    }

    /// A new identifier: this VM, this life of it, and a counter.
    pub(crate) fn new_request_id(&self) -> RequestId {
        let count = self.next_request.fetch_add(1, Ordering::Relaxed);
        let name = xxhash_rust::xxh3::xxh3_64(self.config.vm.as_str().as_bytes());
        let life = name ^ self.incarnation.0.rotate_left(32);
        RequestId(u128::from(life) << 64 | u128::from(count))
    }
}
