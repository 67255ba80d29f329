//! The shared state of `serve`, passed down in place of globals.
//!
//! The context holds the structs that own the state; none of these structs refers to the context.
//! The modules that take a context depend on each other in one direction only.

use crate::configs::serve::ServeConfig;
use crate::modules::serve::configuration::in_force::ConfigInForce;
use crate::modules::serve::configuration::replica::LocalReplica;
use crate::modules::serve::keys::key_homes::KeyHomes;
use crate::modules::serve::leaving::Leaving;
use crate::modules::serve::observation::metrics::Metrics;
use crate::modules::serve::observation::service_levels::ServiceLevels;
use crate::modules::serve::operators::queries::Queries;
use crate::modules::serve::peers::links::{Dial, PeerLinks};
use crate::modules::serve::peers::members::Members;
use crate::modules::serve::pools::directory::PoolDirectory;
use crate::modules::serve::pools::remote_requests::RemoteRequests;
use crate::modules::serve::rollouts::held_rollouts::Rollouts;
use bridgevane_adapters::HttpPlatform;
use bridgevane_client_limits::{BodyMemory, ClientConnections, ClientMemory};
use bridgevane_coordination::KeyMember;
use bridgevane_types::{Incarnation, RequestId, TimeMs, boot_time};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::mpsc::UnboundedReceiver;

/// How many times a byte of a body is held: as it was received, as its call was parsed, and as it is sent to
/// an endpoint.
const BODY_COPIES: u64 = 3;

/// The daemon's shared state. The path of a request reads all of it without locks.
pub struct Context {
    /// The settings that the daemon was started with.
    pub config: ServeConfig,
    /// The client of the platform.
    pub platform: HttpPlatform,
    /// The operators' configuration in force on this VM.
    pub in_force: ConfigInForce,
    /// The pools of all services.
    pub pools: PoolDirectory,
    /// The replica of the configuration.
    pub replica: LocalReplica,
    /// The membership of this data centre.
    pub members: Members,
    /// The connections to other daemons.
    pub links: PeerLinks,
    /// The requests that other daemons decide on, and the bypassed homes.
    pub remote_requests: RemoteRequests,
    /// The registry of idempotency keys.
    pub keys: KeyHomes,
    /// The rollouts that this daemon runs.
    pub rollouts: Rollouts,
    /// The operators' statements that wait for other daemons.
    pub queries: Queries,
    /// The metrics that `/metrics` shows.
    pub metrics: Metrics,
    /// The service levels by class.
    pub service_levels: ServiceLevels,
    /// The connections of callers.
    pub caller_connections: Arc<ClientConnections>,
    /// The memory for the bodies of callers' requests.
    pub body_memory: BodyMemory,
    /// Whether this VM is leaving, and the requests in progress.
    pub leaving: Leaving,
    /// The incarnation of this daemon.
    pub incarnation: Incarnation,
    started: TimeMs,
    next_request: AtomicU64,
}

impl Context {
    /// Creates the state of a starting daemon, and the receiver of the connections to open to other
    /// daemons.
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
        let plan = config.clients;
        let caller_connections =
            ClientConnections::new(ClientMemory::new(plan.all), plan.max_connections);
        let context = Arc::new(Self {
            platform: HttpPlatform::new(config.platform_address),
            in_force: ConfigInForce::default(),
            pools: PoolDirectory::default(),
            replica: LocalReplica::new(seed),
            members: Members::new(config.vm.clone(), config.peers.address, incarnation),
            links,
            remote_requests: RemoteRequests::default(),
            keys: KeyHomes::new(own, TimeMs(0)),
            rollouts: Rollouts::default(),
            queries: Queries::default(),
            metrics: Metrics::new(),
            service_levels: ServiceLevels::default(),
            body_memory: BodyMemory::new(plan.bodies, BODY_COPIES, caller_connections.clone()),
            caller_connections,
            leaving: Leaving::default(),
            incarnation,
            started: boot_time(),
            next_request: AtomicU64::new(0),
            config,
        });
        (context, dials)
    }

    /// Returns the current time for the state machines. The clock counts suspensions of the VM, so
    /// that leases, keys and members age during a suspension as during a stop of the process.
    pub fn now(&self) -> TimeMs {
        TimeMs(boot_time().since(self.started).0)
    }

    /// Returns a new request identifier, made of the VM, its incarnation and a counter.
    pub(crate) fn new_request_id(&self) -> RequestId {
        let count = self.next_request.fetch_add(1, Ordering::Relaxed);
        let name = xxhash_rust::xxh3::xxh3_64(self.config.vm.as_str().as_bytes());
        let source = name ^ self.incarnation.0.rotate_left(32);
        RequestId(u128::from(source) << 64 | u128::from(count))
    }
}
