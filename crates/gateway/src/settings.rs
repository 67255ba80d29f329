//! The settings of the gateway, which are fixed before it starts.
//!
//! The command sets them from flags (docs/CONFIGURATION.md); `--print-settings` prints them under
//! these names.

use crate::decisions::admission::freshness::FreshnessPolicy;
use crate::decisions::duties::usage_window::UsageCalendar;
use crate::decisions::eligibility::region_limits::RegionMap;
use crate::decisions::replication::proof_limits::ProofLimits;
use bridgevane_types::{Bytes, DataCentreId, DurationMs, Share, VmId};
use std::net::SocketAddr;

/// The settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// The id of this VM.
    pub vm: VmId,
    /// The data centre of this VM.
    pub data_centre: DataCentreId,
    /// The region of each data centre.
    pub regions: RegionMap,
    /// The listen address for clients.
    pub client_address: SocketAddr,
    /// The listen address for the balancer's readiness checks and the metrics page.
    pub ready_address: SocketAddr,
    /// The listen address for other daemons that poll this one for the control source's state;
    /// `None` if none can.
    pub peer_address: Option<SocketAddr>,
    /// The peer addresses of the daemons that follow the control source; if empty, all do.
    pub seed_addresses: Vec<SocketAddr>,
    /// How long an endpoint stays in use after its record expired in an outage of the control source.
    pub lapse_grace_ms: DurationMs,
    /// The limits on the age of the configuration.
    pub freshness: FreshnessPolicy,
    /// The duration of one wait for changes at the control source.
    pub watch_wait_ms: DurationMs,
    /// The maximum duration of a planned stop.
    pub stop_ms: DurationMs,
    /// How long the balancer still sends connections to a daemon that isn't ready.
    pub balancer_delay_ms: DurationMs,
    /// The number of retries allowed per request, over all daemons.
    pub retry_ratio: Share,
    /// The number of retries allowed beyond the ratio in one window, over all daemons.
    pub retry_slack: u32,
    /// The sliding window of the retry budget.
    pub retry_window_ms: DurationMs,
    /// How long a client may read nothing, or leave sent bytes unacknowledged, before its connection is
    /// closed. The two can't be told apart by the system.
    pub client_stall_ms: DurationMs,
    /// The maximum memory that clients' connections and their bodies may use together.
    pub max_client_bytes: Bytes,
    /// The maximum size of all request bodies in memory.
    pub max_buffered_bytes: Bytes,
    /// The maximum number of clients' connections.
    pub max_client_connections: usize,
    /// The duties of the fleet; `None` if it has none.
    pub duties: Option<DutySettings>,
}

/// The settings of the duties: calls to the platform that one daemon makes for the whole fleet.
#[derive(Clone, Debug)]
pub struct DutySettings {
    /// The duration of a holder's lease.
    pub lease_ms: DurationMs,
    /// The calendar of usage windows; `None` if usage isn't submitted.
    pub usage: Option<UsageCalendar>,
    /// Whether engines are ordered, for services whose configuration allows it.
    pub orders_engines: bool,
}

impl GatewaySettings {
    /// Returns the limits on the age of other daemons' proofs.
    pub(crate) fn proof_limits(&self) -> ProofLimits {
        let FreshnessPolicy {
            proof_lifetime_ms,
            config_apply_ms,
            ..
        } = self.freshness;
        ProofLimits::new(proof_lifetime_ms, config_apply_ms)
    }
}
