//! Settings of `gateway`, read from flags, then environment variables, then defaults, and checked
//! together.
//!
//! The platform's time limits (for a key's removal, an endpoint's leaving and a stop) are converted
//! here to the gateway's shorter limits, which leave a margin for the time after a decision.

use crate::configs::clients;
use crate::configs::log::LogConfig;
use crate::configs::settings_reader::{
    ADDRESS, NAME, SettingProblems, SettingReader, SettingSource,
};
use bridgevane_client_limits::ClientShares;
use bridgevane_gateway::decisions::admission::freshness::FreshnessPolicy;
use bridgevane_gateway::decisions::duties::usage_window::UsageCalendar;
use bridgevane_gateway::{DutySettings, GatewaySettings};
use bridgevane_platform::Duty;
use bridgevane_types::{DataCentreId, DurationMs, RegionId, Share};
use derive_more::{Display, Error};
use std::net::SocketAddr;

/// All settings of `gateway`.
#[derive(Clone, Debug)]
pub(crate) struct GatewayConfig {
    /// The settings of the gateway itself.
    pub gateway: GatewaySettings,
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// The address of the platform's interface for duties, or `None` if the fleet has no duties.
    pub duty_address: Option<SocketAddr>,
    /// The settings of logs.
    pub log: LogConfig,
}

/// The problem with `--max-stale-s` when removed keys are enforced strictly.
const NEEDS_LENIENT_KEYS: &str =
    "has no effect with strict key removal; add --strict-key-removal false";
const MILLISECONDS: &str = "a number of milliseconds";
/// The number of milliseconds in a second: some settings are in seconds, the gateway's are in
/// milliseconds.
const MS_PER_S: f64 = 1_000.0;

/// The default of `--key-removal-ms`, from the users' small sites; the deploy file sets it per
/// site.
const DEFAULT_KEY_REMOVAL_MS: u64 = 5_000;
/// The default of `--strict-key-removal`: strict is the safe choice.
const DEFAULT_STRICT_KEY_REMOVAL: bool = true;
/// The default of `--max-stale-s`: an outage of the platform's store may last for hours, and an
/// operator can act within six.
const DEFAULT_MAX_STALE_S: u64 = 6 * 60 * 60;
/// The maximum of `--max-stale-s`, a week: if a configuration can't be changed for longer, that is
/// no longer an outage.
const MAX_MAX_STALE_S: u64 = 7 * 24 * 60 * 60;
/// The default of `--drain-ms`, from the users' small sites.
const DEFAULT_DRAIN_MS: u64 = 2_000;
/// The default of `--config-apply-ms`, from the users' small sites: the strictest known value.
const DEFAULT_CONFIG_APPLY_MS: u64 = 2_000;
/// The default of `--stop-s`; the sites allow 8 s and more.
const DEFAULT_STOP_S: f64 = 10.0;
/// The default of `--retry-ratio`, from the users' sites.
const DEFAULT_RETRY_RATIO: f64 = 0.2;
/// The default of `--retry-slack`: one retry per window for each of twelve daemons.
const DEFAULT_RETRY_SLACK: f64 = 12.0;
/// The default of `--retry-window-s`, from the users' sites.
const DEFAULT_RETRY_WINDOW_S: f64 = 10.0;
/// The default of `--lease-ms`, from the users' sites.
const DEFAULT_LEASE_MS: u64 = 3_000;
/// The minimum of `--lease-ms`: nine tenths of it, minus the third after which the lease is
/// renewed, must leave enough time for a call of the platform, which may take a second.
const MIN_LEASE_MS: u64 = 2_000;
/// The default of `--usage-window-s`, from the users' sites.
const DEFAULT_USAGE_WINDOW_S: f64 = 5.0;
/// The default of `--usage-late-s`, from the users' sites.
const DEFAULT_USAGE_LATE_S: f64 = 10.0;
/// The minimum of `--usage-window-s`: daemons report their counts once per second.
const MIN_USAGE_WINDOW: DurationMs = DurationMs(1_000);
/// The default of `--client-stall-ms`: clients pause for up to 5 s while they read; the host of one that
/// is gone holds its request for as long.
const DEFAULT_CLIENT_STALL_MS: u64 = 6_000;

/// The part of `--key-removal-ms` that is reserved for sending a request: it covers the time that a
/// slow VM takes between the last check of the proof and the send.
const KEY_REMOVAL_MARGIN_MS: u64 = 300;
/// The part of `--drain-ms` that is reserved for requests to reach the endpoint: the time that
/// opening a connection may take.
const DRAIN_MARGIN_MS: u64 = 300;
/// The duration of one wait for changes at the source, and so the interval between proofs of the
/// configuration. Waits of 1.7 s left proofs up to 3.4 s old when an outage began. Only few daemons
/// poll the source, and the proofs of the other daemons are as old as theirs.
const WATCH_WAIT: DurationMs = DurationMs(500);
/// The time for which the balancer still sends connections to a daemon that isn't ready any more:
/// it checks once per second and acts on the second failure; the rest is for slow answers.
const BALANCER_DELAY: DurationMs = DurationMs(2_600);
/// The part of `--stop-s` that is reserved for the end of the process, which waits up to 350 ms until
/// the last lines of the log are written.
const STOP_MARGIN_MS: u64 = 400;
/// The parts of the memory that clients may use. The rest is for the daemon itself, which needs 5 to 24 MB (see
/// docs/CAPACITY.md), and for what the allocator can't use.
const CLIENT_SHARES: ClientShares = ClientShares {
    all_percent: 70,
    bodies_percent: 60,
};

impl GatewayConfig {
    /// Reads and checks all settings.
    ///
    /// # Errors
    /// [`SettingProblems`] with all problems that were found.
    pub fn read(source: &impl SettingSource) -> Result<Self, SettingProblems> {
        let mut reader = SettingReader::new(source);
        let vm = reader.required("vm-id", NAME);
        let data_centre = reader.required("data-centre", NAME);
        let regions: Vec<RegionEntry> = reader.list("regions", "entries such as dc-a=region-1");
        let client_address = reader.required("client-address", ADDRESS);
        let ready_address = reader.required("ready-address", ADDRESS);
        let store_address = reader.required("store-address", ADDRESS);
        let peer_address = reader.optional("peer-address", ADDRESS);
        let seed_addresses = reader.list("seed-addresses", ADDRESS);
        let bounds = PlatformBounds::read(&mut reader);
        let freshness = freshness_policy(&mut reader, bounds.config_apply_ms);
        let retries = RetrySettings::read(&mut reader);
        let duty_address = reader.optional("duty-address", ADDRESS);
        let duties = duty_settings(&mut reader);
        let clients = clients::read_plan(&mut reader, CLIENT_SHARES);
        let client_stall_ms = reader.optional("client-stall-ms", "a number of milliseconds");
        let log = LogConfig::read(&mut reader);
        let read = reader.finish()?;
        Ok(Self {
            gateway: GatewaySettings {
                vm: vm.value(&read),
                data_centre: data_centre.value(&read),
                regions: regions.into_iter().map(RegionEntry::into_entry).collect(),
                client_address: client_address.value(&read),
                ready_address: ready_address.value(&read),
                peer_address,
                seed_addresses,
                lapse_grace_ms: subtract_margin(bounds.drain_ms, DRAIN_MARGIN_MS),
                freshness,
                watch_wait_ms: WATCH_WAIT,
                stop_ms: subtract_margin(bounds.stop_ms, STOP_MARGIN_MS),
                balancer_delay_ms: BALANCER_DELAY,
                retry_ratio: retries.ratio,
                retry_slack: retries.slack,
                retry_window_ms: retries.window_ms,
                client_stall_ms: DurationMs(client_stall_ms.unwrap_or(DEFAULT_CLIENT_STALL_MS)),
                max_client_bytes: clients.all,
                max_buffered_bytes: clients.bodies,
                max_client_connections: clients.max_connections,
                duties: duty_address.and(duties),
            },
            duty_address,
            store_address: store_address.value(&read),
            log,
        })
    }
}

/// An entry of `--regions`: the region of one data centre.
#[derive(Clone, Debug)]
struct RegionEntry {
    data_centre: DataCentreId,
    region: RegionId,
}

impl RegionEntry {
    fn into_entry(self) -> (DataCentreId, RegionId) {
        (self.data_centre, self.region)
    }
}

/// The error for an entry that isn't of the form `data-centre=region`.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("not of the form data-centre=region")]
struct InvalidRegionEntry;

impl std::str::FromStr for RegionEntry {
    type Err = InvalidRegionEntry;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (data_centre, region) = text.split_once('=').ok_or(InvalidRegionEntry)?;
        if data_centre.is_empty() || region.is_empty() {
            return Err(InvalidRegionEntry);
        }
        Ok(Self {
            data_centre: data_centre.into(),
            region: region.into(),
        })
    }
}

/// Returns a time limit minus its margin.
fn subtract_margin(bound_ms: u64, margin_ms: u64) -> DurationMs {
    DurationMs(bound_ms.saturating_sub(margin_ms))
}

/// Reads how old the configuration may be: with strict key removal only as old as a proof,
/// otherwise up to `--max-stale-s`, so that the daemon keeps serving during an outage.
fn freshness_policy(
    reader: &mut SettingReader<'_, impl SettingSource>,
    config_apply_ms: DurationMs,
) -> FreshnessPolicy {
    let key_removal_ms = reader.optional("key-removal-ms", MILLISECONDS);
    let is_strict = reader.optional("strict-key-removal", "true or false");
    let is_strict = is_strict.unwrap_or(DEFAULT_STRICT_KEY_REMOVAL);
    let max_stale_s: Option<u64> = reader.optional("max-stale-s", "a number of seconds");
    if is_strict && max_stale_s.is_some() {
        reader.add_problem("max-stale-s", NEEDS_LENIENT_KEYS.to_owned());
    }
    if max_stale_s.is_some_and(|given_s| given_s > MAX_MAX_STALE_S) {
        let what = format!("is too long; give at most {MAX_MAX_STALE_S}");
        reader.add_problem("max-stale-s", what);
    }
    let proof_lifetime_ms = subtract_margin(
        key_removal_ms.unwrap_or(DEFAULT_KEY_REMOVAL_MS),
        KEY_REMOVAL_MARGIN_MS,
    );
    let max_stale_age_ms = if is_strict {
        proof_lifetime_ms
    } else {
        DurationMs(max_stale_s.unwrap_or(DEFAULT_MAX_STALE_S) * MS_PER_S as u64)
    };
    FreshnessPolicy {
        proof_lifetime_ms,
        config_apply_ms,
        max_stale_age_ms,
    }
}

/// Reads the settings of the fleet's duties, or `None` if no known duty is named.
fn duty_settings(reader: &mut SettingReader<'_, impl SettingSource>) -> Option<DutySettings> {
    let duties: Vec<Duty> = reader.list("duties", "the platform's names of duties");
    let lease_ms = reader.optional("lease-ms", MILLISECONDS);
    let width_s: Option<f64> = reader.optional("usage-window-s", "seconds");
    let late_s: Option<f64> = reader.optional("usage-late-s", "seconds");
    let calendar = UsageCalendar {
        width_ms: seconds(width_s.unwrap_or(DEFAULT_USAGE_WINDOW_S)),
        late_ms: seconds(late_s.unwrap_or(DEFAULT_USAGE_LATE_S)),
    };
    if calendar.width_ms < MIN_USAGE_WINDOW {
        let what = format!("is too short; give at least {MIN_USAGE_WINDOW} ms");
        reader.add_problem("usage-window-s", what);
    }
    let lease_ms = lease_ms.unwrap_or(DEFAULT_LEASE_MS);
    if lease_ms < MIN_LEASE_MS {
        let what = format!("is too short; give at least {MIN_LEASE_MS}");
        reader.add_problem("lease-ms", what);
    }
    let settings = DutySettings {
        lease_ms: DurationMs(lease_ms),
        usage: duties.contains(&Duty::Usage).then_some(calendar),
        orders_engines: duties.contains(&Duty::Engines),
    };
    let has_any = settings.usage.is_some() || settings.orders_engines;
    has_any.then_some(settings)
}

fn seconds(seconds: f64) -> DurationMs {
    DurationMs((seconds * MS_PER_S) as u64)
}

/// The platform's time limits for a drain, for a new configuration and for a stop.
struct PlatformBounds {
    drain_ms: u64,
    config_apply_ms: DurationMs,
    stop_ms: u64,
}

impl PlatformBounds {
    fn read(reader: &mut SettingReader<'_, impl SettingSource>) -> Self {
        let drain_ms = reader.optional("drain-ms", MILLISECONDS);
        let config_apply_ms = reader.optional("config-apply-ms", MILLISECONDS);
        let stop_s: Option<f64> = reader.optional("stop-s", "a number of seconds");
        Self {
            drain_ms: drain_ms.unwrap_or(DEFAULT_DRAIN_MS),
            config_apply_ms: DurationMs(config_apply_ms.unwrap_or(DEFAULT_CONFIG_APPLY_MS)),
            stop_ms: (stop_s.unwrap_or(DEFAULT_STOP_S) * MS_PER_S) as u64,
        }
    }
}

/// The settings of the retry budget of the whole fleet.
struct RetrySettings {
    ratio: Share,
    slack: u32,
    window_ms: DurationMs,
}

impl RetrySettings {
    fn read(reader: &mut SettingReader<'_, impl SettingSource>) -> Self {
        let ratio = reader.optional("retry-ratio", "a share such as 0.2");
        let slack: Option<f64> = reader.optional("retry-slack", "a number of retries");
        let window_s: Option<f64> = reader.optional("retry-window-s", "seconds");
        let window_s = window_s.unwrap_or(DEFAULT_RETRY_WINDOW_S);
        Self {
            ratio: Share(ratio.unwrap_or(DEFAULT_RETRY_RATIO)),
            slack: slack.unwrap_or(DEFAULT_RETRY_SLACK) as u32,
            window_ms: DurationMs((window_s * MS_PER_S) as u64),
        }
    }
}
