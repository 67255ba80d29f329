//! The profiles of services: what this daemon knows of the engines of each as a whole.
//!
//! Owns the read rate and the demand for quiet engines of each service, behind a short lock; both
//! outlast a change of the directory. From time to time a request's selection refreshes the paces of
//! a service's endpoints and its quiet engines ([`crate::decisions::endpoint`]).

use crate::control::routing_table::RoutingTable;
use crate::decisions::endpoint::engine_pace::{self, Pace};
use crate::decisions::endpoint::engine_rates::{EngineRates, READ_RATE_WINDOW, measured_read_rate};
use crate::decisions::endpoint::quiet_engines::{self, DEMAND_WINDOW, PauseTargets, QuietDemand};
use crate::decisions::endpoint::recent_highest::RecentHighest;
use crate::endpoints::directory::ServiceEndpoints;
use crate::metrics::GatewayMetrics;
use bridgevane_events::{Event, event};
use bridgevane_types::{DurationMs, ServiceName, TimeMs, TokensPerSecond};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};

/// The time between two refreshes of a service: a burst of streams gets more quiet engines soon after
/// its first streams are reported.
const REFRESH_INTERVAL: DurationMs = DurationMs(500);
/// The number of endpoints for which the interval is a millisecond longer, so that the cost of
/// refreshing many endpoints stays a small share of a daemon's time.
const ENDPOINTS_PER_MS: u64 = 2;

#[derive(Debug)]
struct ServiceProfile {
    read_rate: RecentHighest<u64>,
    quiet_streams: RecentHighest<u32>,
    /// The number of quiet engines that was last logged.
    logged_quiet: usize,
}

impl Default for ServiceProfile {
    fn default() -> Self {
        Self {
            read_rate: RecentHighest::new(READ_RATE_WINDOW),
            quiet_streams: RecentHighest::new(DEMAND_WINDOW),
            logged_quiet: 0,
        }
    }
}

/// The profiles of all services.
#[derive(Debug, Default)]
pub(crate) struct EngineProfiles {
    by_service: Mutex<HashMap<ServiceName, ServiceProfile>>,
}

impl EngineProfiles {
    fn by_service(&self) -> MutexGuard<'_, HashMap<ServiceName, ServiceProfile>> {
        self.by_service.lock().expect("no panic under this lock")
    }

    /// Returns the rates of a service's engines.
    pub(crate) fn rates(
        &self,
        now: TimeMs,
        table: Option<&RoutingTable>,
        service: &ServiceName,
    ) -> EngineRates {
        let mut rates = EngineRates::default();
        let by_service = self.by_service();
        let profile = by_service.get(service);
        if let Some(read) = profile.and_then(|profile| profile.read_rate.highest(now)) {
            rates.read = TokensPerSecond(read as f64);
        }
        let configured = table.and_then(|table| table.service(service));
        if let Some(engine) = configured.and_then(|service| service.engine) {
            rates.fetch = engine.fetch_rate();
        }
        rates
    }

    /// Records the time from sending a prompt to its first token.
    pub(crate) fn on_first_token(
        &self,
        now: TimeMs,
        service: &ServiceName,
        own_tokens: u64,
        elapsed: DurationMs,
        pace: Pace,
    ) {
        let Some(rate) = measured_read_rate(own_tokens, elapsed, pace) else {
            return;
        };
        let mut by_service = self.by_service();
        let profile = by_service.entry(service.clone()).or_default();
        profile.read_rate.record(now, rate);
    }

    /// Refreshes the paces and the quiet engines of a service if that is due.
    pub(crate) fn refresh(
        &self,
        now: TimeMs,
        name: &ServiceName,
        service: &ServiceEndpoints,
        pause_targets: &PauseTargets,
        metrics: &GatewayMetrics,
    ) {
        let extra_ms = service.all.len() as u64 / ENDPOINTS_PER_MS;
        let interval = DurationMs(REFRESH_INTERVAL.0 + extra_ms);
        if !service.begin_refresh(now, interval) {
            return;
        }
        refresh_paces(now, service);
        let loads = service.all.iter();
        let (mut streams, mut running) = (0, 0);
        for load in loads.map(|endpoint| endpoint.load.snapshot(now)) {
            streams += load.quiet_streams;
            running += load.fleet_running();
        }
        let mut by_service = self.by_service();
        let profile = by_service.entry(name.clone()).or_default();
        profile.quiet_streams.record(now, streams);
        let demand = QuietDemand {
            streams: profile.quiet_streams.highest(now).unwrap_or(streams),
            running,
            slots: service.slots(),
        };
        let share = quiet_engines::quiet_share(pause_targets, demand);
        let quiet = service.choose_quiet(share);
        metrics.quiet_engines(name, quiet, demand.streams);
        if quiet == profile.logged_quiet {
            return;
        }
        profile.logged_quiet = quiet;
        event!(
            Event::QuietEnginesChanged,
            service = name,
            engines = service.all.len(),
            quiet = quiet,
            streams = demand.streams,
            read_per_s = profile.read_rate.highest(now).unwrap_or(0)
        );
    }
}

/// Computes the paces of a service's endpoints from their work times.
fn refresh_paces(now: TimeMs, service: &ServiceEndpoints) {
    let endpoints = service.all.iter();
    let work_times: Vec<_> = endpoints.map(|each| each.pace.lowest(now)).collect();
    let paces = engine_pace::paces(&work_times);
    for (endpoint, pace) in service.all.iter().zip(paces) {
        endpoint.pace.set_pace(pace);
    }
}
