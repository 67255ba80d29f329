//! Settings of the gateway: all of them are known before it starts, and none changes while it runs.
//!
//! The command fills them in from flags (docs/CONFIGURATION.md); `--print-settings` prints them
//! under these names.

use crate::decisions::admission::freshness::FreshnessPolicy;
use crate::decisions::duties::usage_window::UsageCalendar;
use crate::decisions::eligibility::region_limits::RegionMap;
use crate::decisions::replication::proof_limits::ProofLimits;
use bridgevane_types::{Bytes, DataCentreId, DurationMs, Share, VmId};
use std::net::SocketAddr;

/// What the gateway needs to know before it starts.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// This VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The region of each data centre.
    pub regions: RegionMap,
    /// Where clients connect.
    pub client_address: SocketAddr,
    /// Where the balancer asks whether the daemon is ready, and where metrics are served.
    pub ready_address: SocketAddr,
    /// Where other daemons ask what this one has of the control source; none: nowhere.
    pub peer_address: Option<SocketAddr>,
    /// Peer addresses of the daemons that follow the control source; without any all do.
    pub seed_addresses: Vec<SocketAddr>,
    /// How long an endpoint is used whose record expired while the control source was away.
    pub lapse_grace_ms: DurationMs,
    /// How long a change of the configuration may take until it is in force.
    pub config_apply_ms: DurationMs,
    /// How old the configuration may be.
    pub freshness: FreshnessPolicy,
    /// How long one wait for changes lasts at the control source.
    pub watch_wait_ms: DurationMs,
    /// How long a stop may take.
    pub stop_ms: DurationMs,
    /// How long the balancer still sends connections to a daemon that isn't ready.
    pub balancer_delay_ms: DurationMs,
    /// Retries allowed for each request, over all daemons.
    pub retry_ratio: Share,
    /// Retries allowed beyond the ratio in one window, over all daemons.
    pub retry_slack: u32,
    /// The sliding window of the retry budget.
    pub retry_window_ms: DurationMs,
    /// Bodies held in memory at most.
    pub max_buffered_bytes: Bytes,
    /// The duties of the fleet; none: it has none.
    pub duties: Option<DutySettings>,
}

/// Calls to the platform that one daemon makes for the whole fleet.
#[derive(Clone, Debug)]
pub struct DutySettings {
    /// How long a holder's lease lasts.
    pub lease_ms: DurationMs,
    /// The windows of usage; none: usage isn't told.
    pub usage: Option<UsageCalendar>,
    /// Whether engines are ordered, for services whose configuration allows it.
    pub orders_engines: bool,
}

impl GatewaySettings {
    /// How old other daemons' proofs may be.
    pub(crate) fn proof_limits(&self) -> ProofLimits {
        ProofLimits::new(self.freshness.proof_lifetime_ms, self.config_apply_ms)
    }
}
