//! A simulated daemon: the product's tasks, connected to the simulated platform.

use super::follower::TreeFollower;
use super::peers::{Peer, PeerNetwork};
use super::store::{HOLDER, LinkFaults, PlatformClient, SimulatedPlatform};
use super::{LEASE, WINDOW};
use bridgevane_gateway::decisions::admission::freshness::FreshnessPolicy;
use bridgevane_gateway::decisions::duties::unreported_usage::UnreportedUsage;
use bridgevane_gateway::decisions::duties::usage_window::UsageCalendar;
use bridgevane_gateway::{
    ChangedValue, Clock, ClockScript, DutySettings, Gateway, GatewaySettings, HolderRecord,
    ReplicaUpdate, Revision, follow_control_source, hold_duties,
};
use bridgevane_types::{CustomerId, DurationMs, WallTimeMs};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// The step in which a suspension is simulated.
const SUSPENSION_STEP: Duration = Duration::from_millis(5);

/// The interval between two reports of a daemon's usage.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The number of customers whose requests a daemon sees one after the other.
const CUSTOMERS: u64 = 3;

/// A running daemon; dropping it kills it.
pub struct Daemon {
    pub vm: String,
    pub gateway: Arc<Gateway>,
    platform: SimulatedPlatform,
    clock: &'static ClockScript,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        // Its gateway may outlive its tasks: other daemons' reports must not reach it.
        self.platform.unregister(&self.vm);
    }
}

fn settings(vm: &str, place: Option<&TreePlace>) -> GatewaySettings {
    GatewaySettings {
        vm: vm.into(),
        data_centre: place.map_or("dc-1", |place| place.data_centre).into(),
        peer_address: place.map(|place| place.address),
        seed_addresses: place.map_or_else(Vec::new, |place| place.seeds.clone()),
        // A daemon that is cut off from the store continues for this time.
        freshness: FreshnessPolicy {
            proof_lifetime_ms: DurationMs(4_700),
            config_apply_ms: DurationMs(4_000),
            max_stale_age_ms: DurationMs(4_700),
        },
        duties: Some(DutySettings {
            lease_ms: DurationMs(LEASE.as_millis() as u64),
            usage: Some(UsageCalendar {
                width_ms: DurationMs(WINDOW.as_millis() as u64),
                late_ms: DurationMs(10_000),
            }),
            orders_engines: true,
        }),
        ..crate::support::settings()
    }
}

/// A daemon's place among daemons that follow each other.
#[derive(Clone)]
pub struct TreePlace {
    pub network: PeerNetwork,
    pub address: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub data_centre: &'static str,
}

/// How a daemon is started.
#[derive(Clone)]
pub struct DaemonStart {
    /// The interval between the requests that it sees start.
    pub request_interval: Duration,
    /// By how much its time of day is ahead of the true one, in milliseconds.
    pub wall_ahead_ms: i64,
    /// `None`: it follows the store itself.
    pub tree: Option<TreePlace>,
}

/// Starts the tasks with which a daemon follows the store or another daemon.
fn follow_in_tree(
    gateway: &Arc<Gateway>,
    client: PlatformClient,
    place: TreePlace,
) -> Vec<JoinHandle<()>> {
    let peer = Peer::new(gateway, place.address);
    place.network.register(&peer);
    let platform = client.platform.clone();
    let network = place.network;
    let follower = TreeFollower::new(gateway.clone(), peer.clone(), network.clone(), client);
    let mut tasks = vec![tokio::spawn(follower.run())];
    if place.seeds.contains(&place.address) {
        let exchange = network.exchange_between_seeds(platform, peer, place.seeds);
        tasks.push(tokio::spawn(exchange));
    }
    tasks
}

/// Returns the holder that a daemon's replica names.
fn known_holder(gateway: &Gateway) -> Option<HolderRecord> {
    let ReplicaUpdate::Full(records) = gateway.control.replica().update_since(Revision(0)) else {
        return None;
    };
    let holder = records.into_iter().find(|record| record.key == HOLDER)?;
    match holder.outcome {
        ChangedValue::Whole(value) => HolderRecord::decode(&value).ok(),
        _ => None,
    }
}

/// Reports a daemon's usage to the holder.
async fn report_usage(platform: SimulatedPlatform, gateway: Arc<Gateway>) {
    let mut unreported = UnreportedUsage::default();
    let vm = gateway.settings.vm.to_string();
    loop {
        sleep(REPORT_INTERVAL).await;
        let Some(holder) = known_holder(&gateway) else {
            continue;
        };
        let holder_vm = holder.daemon.vm.to_string();
        let Some(holder_gateway) = platform.gateway_for(&vm, &holder_vm) else {
            unreported.on_no_answer();
            continue;
        };
        let own = gateway.usage_tracker.own_report().expect("usage windows");
        // A session that doesn't accept the report gets all counts at once.
        for _ in 0..2 {
            let Some(report) = unreported.report(&holder.daemon, &own) else {
                break;
            };
            let Some(answer) = holder_gateway.usage_tracker.on_report(report.clone()) else {
                unreported.on_no_answer();
                break;
            };
            if platform.are_report_answers_lost(&vm) {
                unreported.on_no_answer();
                break;
            }
            gateway.usage_tracker.on_window_stored(answer.newest_stored);
            if unreported.on_answer(&holder.daemon, &own, &report, answer.fence) {
                break;
            }
        }
    }
}

/// Counts a request every `interval`; the customers differ from second to second.
async fn count_requests(gateway: Arc<Gateway>, interval: Duration) {
    let started = Instant::now();
    loop {
        sleep(interval).await;
        let customer = started.elapsed().as_secs() / 2 % CUSTOMERS;
        let customer = CustomerId::from(format!("c-{customer}").as_str());
        let now = gateway.clock.now();
        gateway.usage_tracker.on_request_began(now, &customer);
    }
}

impl Daemon {
    /// Starts a daemon that sees a request start every `interval`.
    pub fn start(platform: &SimulatedPlatform, vm: &str, interval: Duration) -> Self {
        Self::start_with_clock(platform, vm, interval, DurationMs(0))
    }

    /// Starts a daemon whose time of day is behind.
    pub fn start_with_clock(
        platform: &SimulatedPlatform,
        vm: &str,
        interval: Duration,
        behind: DurationMs,
    ) -> Self {
        let start = DaemonStart {
            request_interval: interval,
            wall_ahead_ms: -(behind.0 as i64),
            tree: None,
        };
        Self::start_as(platform, vm, start)
    }

    /// Starts a daemon that is the first seed.
    pub fn start_as_seed(platform: &SimulatedPlatform, vm: &str, interval: Duration) -> Self {
        let own = "127.0.0.1:1".parse().expect("an address");
        let settings = GatewaySettings {
            peer_address: Some(own),
            seed_addresses: vec![own],
            ..settings(vm, None)
        };
        let start = DaemonStart {
            request_interval: interval,
            wall_ahead_ms: 0,
            tree: None,
        };
        Self::start_with_settings(platform, settings, start)
    }

    /// Starts a daemon.
    pub fn start_as(platform: &SimulatedPlatform, vm: &str, start: DaemonStart) -> Self {
        let settings = settings(vm, start.tree.as_ref());
        Self::start_with_settings(platform, settings, start)
    }

    fn start_with_settings(
        platform: &SimulatedPlatform,
        settings: GatewaySettings,
        start: DaemonStart,
    ) -> Self {
        let vm = &settings.vm.to_string();
        let meter = opentelemetry::global::meter("test");
        let script = ClockScript::leaked();
        let wall_ms = platform
            .time_of_day()
            .0
            .strict_add_signed(start.wall_ahead_ms);
        let clock = Clock::scripted_at(script, WallTimeMs(wall_ms));
        let names = crate::support::names();
        let gateway = Gateway::with_clock(settings, names, &meter, clock);
        let client = PlatformClient {
            platform: platform.clone(),
            vm: vm.to_owned(),
        };
        platform.register(vm, &gateway);
        let mut tasks = vec![
            tokio::spawn(report_usage(platform.clone(), gateway.clone())),
            tokio::spawn(hold_duties(gateway.clone(), client.clone(), client.clone())),
            tokio::spawn(count_requests(gateway.clone(), start.request_interval)),
        ];
        match start.tree {
            None => tasks.push(tokio::spawn(follow_control_source(gateway.clone(), client))),
            Some(place) => tasks.extend(follow_in_tree(&gateway, client, place)),
        }
        Self {
            vm: vm.to_owned(),
            platform: platform.clone(),
            clock: script,
            gateway,
            tasks,
        }
    }

    /// Returns whether the daemon follows the store itself.
    pub fn follows_source(&self) -> bool {
        let path = self.gateway.fleet.path();
        path.reaches_source() && path.daemons().is_empty()
    }

    /// Suspends the daemon's VM: none of its calls get through, and its monotonic clock stands
    /// still.
    pub async fn suspend(&self, platform: &SimulatedPlatform, duration: Duration) {
        platform.set_faults(&self.vm, LinkFaults::suspended());
        let end = Instant::now() + duration;
        while Instant::now() < end {
            sleep(SUSPENSION_STEP).await;
            self.clock
                .mark_suspended(DurationMs(SUSPENSION_STEP.as_millis() as u64));
        }
        platform.set_faults(&self.vm, LinkFaults::default());
    }
}
