//! The gateway: the state of one process, split into components with one responsibility each.
//!
//! | component | state |
//! |---|---|
//! | [`ControlState`] | routes, customers, endpoints, and how recent they are |
//! | [`Fleet`] | what is known about the other daemons |
//! | [`Reachability`] | which services this daemon reaches |
//! | [`Daemons`] | the daemons that requests may be forwarded to |
//! | [`EngineProfiles`] | read rates and quiet engines of services |
//! | [`PromptLocations`] | which engines have read which prompts |
//! | [`UsageTracker`] | usage counts: this daemon's own and, on the holder of the duties, reported ones |
//! | [`BegunStreams`] | the software versions at which streams began, as daemons report them |
//! | [`Quarantine`] | the requests that crash the endpoints that run them |
//! | [`RetryBudgets`] | this daemon's requests and retries of the last two windows |
//! | [`TryCounts`] | how clients' requests ended since the last log lines |
//! | [`Shutdown`] | the progress of a planned stop |
//! | [`ClientConnections`], [`BodyMemory`] | what clients make this process hold |
//! | counters | requests in progress, client connections |
//!
//! Each component has its own locks or atomics, and none calls another. No state outlives the
//! process.

use crate::clock::Clock;
use crate::control::state::ControlState;
use crate::counter::Counter;
use crate::decisions::eligibility::cold_start::ColdQuota;
use crate::decisions::endpoint::idle_connections;
use crate::decisions::resend::retry_budget::RetryRounding;
use crate::duties::usage_tracker::UsageTracker;
use crate::endpoints::connection::Connection;
use crate::endpoints::endpoint::Endpoint;
use crate::endpoints::engine_profiles::EngineProfiles;
use crate::endpoints::prompt_locations::PromptLocations;
use crate::endpoints::reachability::Reachability;
use crate::forwarding::daemons::Daemons;
use crate::header_names::HeaderNames;
use crate::lifecycle::shutdown::Shutdown;
use crate::metrics::GatewayMetrics;
use crate::replication::fleet::Fleet;
use crate::replication::packed_state::PackedState;
use crate::requests::begun_streams::BegunStreams;
use crate::requests::quarantine::Quarantine;
use crate::requests::retry_budgets::RetryBudgets;
use crate::requests::try_counts::TryCounts;
use crate::settings::GatewaySettings;
use crate::unreadable_headers::{HeaderReader, Sender, UnreadableHeaders};
use bridgevane_client_limits::{BodyMemory, ClientConnections, ClientMemory};
use bridgevane_types::{ServiceName, TimeMs};
use http::HeaderMap;
use opentelemetry::metrics::Meter;
use std::sync::Arc;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

/// How many times a byte of a body is held: all attempts share it.
const BODY_COPIES: u64 = 1;

/// The gateway's state.
#[derive(Debug)]
pub struct Gateway {
    /// The settings, fixed before the start.
    pub settings: GatewaySettings,
    /// The clock of all moments in the state.
    pub clock: Clock,
    /// The state received from the control source.
    pub control: ControlState,
    /// A hash of the VM's name.
    pub(crate) vm_hash: u64,
    /// Notified after the VM was suspended.
    pub(crate) resumed_from_suspension: Notify,
    /// The progress of a planned stop.
    pub shutdown: Shutdown,
    pub(crate) header_names: HeaderNames,
    /// What is known about the other daemons.
    pub fleet: Fleet,
    /// The packed full state that starting daemons receive.
    pub(crate) packed_state: PackedState,
    /// The usage counts: this daemon's own and, on the holder of the duties, reported ones.
    pub usage_tracker: UsageTracker,
    pub(crate) reachability: Reachability,
    pub(crate) daemons: Daemons,
    pub(crate) prompt_locations: PromptLocations,
    /// What is known of each service's engines as a whole.
    pub(crate) engine_profiles: EngineProfiles,
    /// The software versions at which streams began, as daemons report them.
    pub(crate) begun_streams: BegunStreams,
    /// The requests that crash the endpoints that run them.
    pub quarantine: Quarantine,
    pub(crate) retry_budgets: RetryBudgets,
    /// How clients' requests ended, until that is logged.
    pub(crate) try_counts: Arc<TryCounts>,
    pub(crate) requests_in_progress: Counter,
    pub(crate) open_connections: Counter,
    /// The connections on which other daemons forward requests.
    pub(crate) forwarded_connections: Counter,
    pub(crate) client_connections: Arc<ClientConnections>,
    pub(crate) body_memory: BodyMemory,
    pub(crate) unreadable_headers: UnreadableHeaders,
    pub(crate) metrics: GatewayMetrics,
}

impl Gateway {
    /// Creates a gateway without any configuration yet.
    pub fn new(settings: GatewaySettings, header_names: HeaderNames, meter: &Meter) -> Arc<Self> {
        Self::with_clock(settings, header_names, meter, Clock::start())
    }

    /// Creates a gateway that uses the given clock.
    pub fn with_clock(
        settings: GatewaySettings,
        header_names: HeaderNames,
        meter: &Meter,
        clock: Clock,
    ) -> Arc<Self> {
        let max_held = settings.max_client_bytes;
        let max_connections = settings.max_client_connections;
        let connections = ClientConnections::new(ClientMemory::new(max_held), max_connections);
        let max_bodies = settings.max_buffered_bytes;
        Arc::new(Self {
            control: ControlState::new(clock, &settings),
            fleet: Fleet::new(clock, &settings),
            usage_tracker: UsageTracker::new(clock, &settings),
            begun_streams: BegunStreams::new(clock),
            quarantine: Quarantine::new(clock),
            retry_budgets: RetryBudgets::new(clock.now(), &settings, RetryRounding::draw()),
            try_counts: Arc::default(),
            daemons: Daemons::new(
                settings.peer_address,
                settings.data_centre.clone(),
                &settings.seed_addresses,
                rand::random(),
            ),
            vm_hash: xxh3_64(settings.vm.as_str().as_bytes()),
            settings,
            packed_state: PackedState::default(),
            clock,
            resumed_from_suspension: Notify::new(),
            shutdown: Shutdown::new(),
            header_names,
            reachability: Reachability::default(),
            prompt_locations: PromptLocations::default(),
            engine_profiles: EngineProfiles::default(),
            requests_in_progress: Counter::default(),
            open_connections: Counter::default(),
            forwarded_connections: Counter::default(),
            body_memory: BodyMemory::new(max_bodies, BODY_COPIES, connections.clone()),
            client_connections: connections,
            unreadable_headers: UnreadableHeaders::new(clock),
            metrics: GatewayMetrics::new(meter),
        })
    }

    /// Returns whether the daemon is ready for new connections.
    pub fn is_ready(&self) -> bool {
        let has_routes = self.control.routing_table().is_some();
        let may_serve = self.control.freshness().may_serve();
        !self.shutdown.is_stopping() && may_serve && has_routes
    }

    /// Returns the number of requests whose answers have not ended.
    pub fn in_progress(&self) -> u64 {
        self.requests_in_progress.get()
    }

    /// Returns the number of open client connections.
    pub fn open_connections(&self) -> u64 {
        self.open_connections.get()
    }

    /// Shares the retry budget among the daemons of the fleet, if their number is known.
    pub(crate) fn on_fleet_size(&self, fleet_size: Option<u32>) {
        if let Some(daemons) = fleet_size {
            self.retry_budgets.set_daemon_count(daemons);
        }
    }

    /// Returns how many idle connections to an endpoint this daemon keeps.
    pub(crate) fn max_idle_connections(&self, endpoint: &Endpoint) -> usize {
        let table = self.control.routing_table();
        let record = endpoint.record.load();
        let service = table
            .as_ref()
            .and_then(|table| table.service(&record.service));
        let max_connections = service.map_or(0, |service| service.max_connections);
        let daemons = self.fleet.size().unwrap_or(1);
        idle_connections::max_idle(max_connections, daemons)
    }

    /// Keeps a connection to an endpoint on which no request was sent.
    pub(crate) fn keep_idle(&self, now: TimeMs, endpoint: &Endpoint, connection: Connection) {
        let Some(idle_timeout) = idle_connections::idle_timeout(None) else {
            return;
        };
        let max_idle = self.max_idle_connections(endpoint);
        let idle = &endpoint.idle_connections;
        idle.put(connection, now + idle_timeout, max_idle);
    }

    /// Returns what this daemon may send to the cold endpoints of a service; `None` if they take as
    /// much as others.
    pub(crate) fn cold_quota(&self, service: &ServiceName) -> Option<ColdQuota> {
        let table = self.control.routing_table()?;
        let limits = table.service(service)?.cold?;
        Some(ColdQuota {
            limits,
            daemon: self.vm_hash,
            process_age: self.clock.elapsed(),
            daemons: self.fleet_size(),
        })
    }

    /// Returns the number of daemons; `None` if this one doesn't know it.
    pub(crate) fn fleet_size(&self) -> Option<u32> {
        let is_alone = self.settings.seed_addresses.is_empty();
        self.fleet.size().or(is_alone.then_some(1))
    }

    /// Returns a decoder for the headers of a client's request.
    pub(crate) fn client_headers<'a>(&'a self, headers: &'a HeaderMap) -> HeaderReader<'a> {
        self.unreadable_headers.reader(Sender::Client, headers)
    }

    /// Returns a decoder for the headers of an endpoint's answer.
    pub(crate) fn endpoint_headers<'a>(&'a self, headers: &'a HeaderMap) -> HeaderReader<'a> {
        self.unreadable_headers.reader(Sender::Endpoint, headers)
    }
}
