//! Settings of `gateway`: flags, then environment variables, then defaults; checked together.
//!
//! Bounds that the platform sets (a key's removal, an endpoint's leaving, a stop) are turned here
//! into the gateway's own times, which leave a margin for what comes after a decision.

use crate::configs::log::LogConfig;
use crate::configs::settings_reader::{
    ADDRESS, NAME, SettingProblems, SettingReader, SettingSource,
};
use bridgevane_gateway::decisions::admission::freshness::FreshnessPolicy;
use bridgevane_gateway::decisions::duties::usage_window::UsageCalendar;
use bridgevane_gateway::{DutySettings, GatewaySettings};
use bridgevane_platform::Duty;
use bridgevane_types::{Bytes, DataCentreId, DurationMs, RegionId, Share};
use derive_more::{Display, Error};
use std::net::SocketAddr;

/// Everything that `gateway` needs to know before it starts.
#[derive(Clone, Debug)]
pub(crate) struct GatewayConfig {
    /// The gateway's own.
    pub gateway: GatewaySettings,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// The platform's interface for duties; none: the fleet has none.
    pub duty_address: Option<SocketAddr>,
    /// Logs.
    pub log: LogConfig,
}

/// What is wrong with `--max-stale-s` beside strict removal of keys.
const NEEDS_LENIENT_KEYS: &str =
    "has no effect while keys are strict; give --strict-key-removal false as well";
const MILLISECONDS: &str = "a number of milliseconds";
/// Milliseconds of a second, since settings say seconds and the gateway milliseconds.
const MS_PER_S: f64 = 1_000.0;
/// Bytes of a megabyte, since settings say megabytes.
const BYTES_PER_MB: u64 = 1 << 20;

/// Default of `--key-removal-ms`, from the users' small sites; the deploy file gives each site's
/// own.
const DEFAULT_KEY_REMOVAL_MS: u64 = 5_000;
/// Default of `--strict-key-removal`: the safe side for whoever doesn't say.
const DEFAULT_STRICT_KEY_REMOVAL: bool = true;
/// Default of `--max-stale-s`. Not measured, chosen because the platform's store may be away for
/// hours, and an operator can act within six.
const DEFAULT_MAX_STALE_S: u64 = 6 * 60 * 60;
/// The longest `--max-stale-s`: a week. Not measured, chosen because a configuration that nobody
/// could change for so long is no longer an outage.
const MAX_MAX_STALE_S: u64 = 7 * 24 * 60 * 60;
/// Default of `--drain-ms`, from the users' small sites.
const DEFAULT_DRAIN_MS: u64 = 2_000;
/// Default of `--config-apply-ms`, from the users' small sites: the strictest that is known.
const DEFAULT_CONFIG_APPLY_MS: u64 = 2_000;
/// Default of `--stop-s`. Not measured, chosen because sites give 8 s and more.
const DEFAULT_STOP_S: f64 = 10.0;
/// Default of `--retry-ratio`, from the users' sites.
const DEFAULT_RETRY_RATIO: f64 = 0.2;
/// Default of `--retry-slack`. Not measured, chosen because it leaves one retry a window to each of
/// twelve daemons.
const DEFAULT_RETRY_SLACK: f64 = 12.0;
/// Default of `--retry-window-s`, from the users' sites.
const DEFAULT_RETRY_WINDOW_S: f64 = 10.0;
/// Default of `--lease-ms`, from the users' sites.
const DEFAULT_LEASE_MS: u64 = 3_000;
/// The shortest `--lease-ms`: nine tenths of it, less the third after which it is renewed, must leave
/// room for a call of the platform, which may take a second.
const MIN_LEASE_MS: u64 = 2_000;
/// Default of `--usage-window-s`, from the users' sites.
const DEFAULT_USAGE_WINDOW_S: f64 = 5.0;
/// Default of `--usage-late-s`, from the users' sites.
const DEFAULT_USAGE_LATE_S: f64 = 10.0;
/// The shortest `--usage-window-s`. Chosen because daemons report their counts each second.
const MIN_USAGE_WINDOW: DurationMs = DurationMs(1_000);
/// Default of `--memory-mb`, from the size that the product is designed for (docs/CAPACITY.md).
const DEFAULT_MEMORY_MB: u64 = 128;

/// Of the time in which a key's removal must be in force, what is left for a request to get out.
/// Not measured, chosen because it covers a slow VM's turn between the last look at the proof and
/// the send.
const KEY_REMOVAL_MARGIN_MS: u64 = 300;
/// Of the time in which an endpoint's leaving must be in force, what is left for requests to get
/// there. Not measured, chosen because it is the time that a connection may take to come up.
const DRAIN_MARGIN_MS: u64 = 300;
/// How long one wait for changes lasts at the source: the configuration is proved that often.
/// Measured with commit 19dad9b: waits of 1.7 s left proofs of up to 3.4 s when an outage began;
/// few daemons ask, and the others' proofs are as old as theirs.
const WATCH_WAIT: DurationMs = DurationMs(500);
/// How long the balancer sends connections after the daemon isn't ready any more. Chosen because it
/// asks once a second and acts on the second miss; the rest is for slow answers.
const BALANCER_DELAY: DurationMs = DurationMs(2_600);
/// Of the time that a stop may take, what is kept for the process to end. Not measured, chosen
/// because logs are written out every 200 ms.
const STOP_MARGIN_MS: u64 = 400;
/// The part of the memory that bodies may take: one in so many. Not measured, chosen because a
/// daemon needs 5 to 8 MB itself (docs/CAPACITY.md), and buffers of connections come on top of
/// bodies.
const BODY_MEMORY_DIVISOR: u64 = 4;

impl GatewayConfig {
    /// Reads and checks all settings.
    ///
    /// # Errors
    /// Every problem at once.
    pub fn read(source: &impl SettingSource) -> Result<Self, SettingProblems> {
        let mut reader = SettingReader::new(source);
        let vm = reader.required("vm-id", NAME);
        let data_centre = reader.required("data-centre", NAME);
        let regions: Vec<RegionOf> = reader.list("regions", "entries such as dc-a=region-1");
        let client_address = reader.required("client-address", ADDRESS);
        let ready_address = reader.required("ready-address", ADDRESS);
        let store_address = reader.required("store-address", ADDRESS);
        let peer_address = reader.optional("peer-address", ADDRESS);
        let seed_addresses = reader.list("seed-addresses", ADDRESS);
        let bounds = Bounds::read(&mut reader);
        let freshness = freshness_policy(&mut reader);
        let retries = Retries::read(&mut reader);
        let duty_address = reader.optional("duty-address", ADDRESS);
        let duties = duty_settings(&mut reader);
        let memory_mb = reader.optional("memory-mb", "a number of megabytes");
        let log = LogConfig::read(&mut reader);
        let read = reader.finish()?;
        let memory_bytes = memory_mb.unwrap_or(DEFAULT_MEMORY_MB) * BYTES_PER_MB;
        Ok(Self {
            gateway: GatewaySettings {
                vm: vm.value(&read),
                data_centre: data_centre.value(&read),
                regions: regions.into_iter().map(RegionOf::into_entry).collect(),
                client_address: client_address.value(&read),
                ready_address: ready_address.value(&read),
                peer_address,
                seed_addresses,
                lapse_grace_ms: less(bounds.drain_ms, DRAIN_MARGIN_MS),
                config_apply_ms: DurationMs(bounds.config_apply_ms),
                freshness,
                watch_wait_ms: WATCH_WAIT,
                stop_ms: less(bounds.stop_ms, STOP_MARGIN_MS),
                balancer_delay_ms: BALANCER_DELAY,
                retry_ratio: retries.ratio,
                retry_slack: retries.slack,
                retry_window_ms: retries.window_ms,
                max_buffered_bytes: Bytes(memory_bytes / BODY_MEMORY_DIVISOR),
                duties: duty_address.and(duties),
            },
            duty_address,
            store_address: store_address.value(&read),
            log,
        })
    }
}

/// The region of one data centre, as a setting says it.
#[derive(Clone, Debug)]
struct RegionOf {
    data_centre: DataCentreId,
    region: RegionId,
}

impl RegionOf {
    fn into_entry(self) -> (DataCentreId, RegionId) {
        (self.data_centre, self.region)
    }
}

/// An entry that isn't a data centre, an equals sign and a region.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("not a data centre and its region")]
struct NotARegion;

impl std::str::FromStr for RegionOf {
    type Err = NotARegion;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (data_centre, region) = text.split_once('=').ok_or(NotARegion)?;
        if data_centre.is_empty() || region.is_empty() {
            return Err(NotARegion);
        }
        Ok(Self {
            data_centre: data_centre.into(),
            region: region.into(),
        })
    }
}

/// A bound without its margin.
fn less(bound_ms: u64, margin_ms: u64) -> DurationMs {
    DurationMs(bound_ms.saturating_sub(margin_ms))
}

/// How old the configuration may be: strict about removed keys, or serving on through an outage.
fn freshness_policy(reader: &mut SettingReader<'_, impl SettingSource>) -> FreshnessPolicy {
    let key_removal_ms = reader.optional("key-removal-ms", MILLISECONDS);
    let is_strict = reader.optional("strict-key-removal", "true or false");
    let is_strict = is_strict.unwrap_or(DEFAULT_STRICT_KEY_REMOVAL);
    let max_stale_s: Option<u64> = reader.optional("max-stale-s", "a number of seconds");
    if is_strict && max_stale_s.is_some() {
        reader.fail("max-stale-s", NEEDS_LENIENT_KEYS.to_owned());
    }
    if max_stale_s.is_some_and(|given_s| given_s > MAX_MAX_STALE_S) {
        let what = format!("is too long; give at most {MAX_MAX_STALE_S}");
        reader.fail("max-stale-s", what);
    }
    let proof_lifetime_ms = less(
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
        max_stale_age_ms,
    }
}

/// The fleet's duties; none where the platform names none that is known.
fn duty_settings(reader: &mut SettingReader<'_, impl SettingSource>) -> Option<DutySettings> {
    let duties: Vec<Duty> = reader.list("duties", "duties as the platform names them");
    let lease_ms = reader.optional("lease-ms", MILLISECONDS);
    let width_s: Option<f64> = reader.optional("usage-window-s", "seconds");
    let late_s: Option<f64> = reader.optional("usage-late-s", "seconds");
    let calendar = UsageCalendar {
        width_ms: seconds(width_s.unwrap_or(DEFAULT_USAGE_WINDOW_S)),
        late_ms: seconds(late_s.unwrap_or(DEFAULT_USAGE_LATE_S)),
    };
    if calendar.width_ms < MIN_USAGE_WINDOW {
        let what = format!("is too short; give at least {MIN_USAGE_WINDOW} ms");
        reader.fail("usage-window-s", what);
    }
    let lease_ms = lease_ms.unwrap_or(DEFAULT_LEASE_MS);
    if lease_ms < MIN_LEASE_MS {
        let what = format!("is too short; give at least {MIN_LEASE_MS}");
        reader.fail("lease-ms", what);
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

/// Bounds that the platform sets.
struct Bounds {
    drain_ms: u64,
    config_apply_ms: u64,
    stop_ms: u64,
}

impl Bounds {
    fn read(reader: &mut SettingReader<'_, impl SettingSource>) -> Self {
        let drain_ms = reader.optional("drain-ms", MILLISECONDS);
        let config_apply_ms = reader.optional("config-apply-ms", MILLISECONDS);
        let stop_s: Option<f64> = reader.optional("stop-s", "a number of seconds");
        Self {
            drain_ms: drain_ms.unwrap_or(DEFAULT_DRAIN_MS),
            config_apply_ms: config_apply_ms.unwrap_or(DEFAULT_CONFIG_APPLY_MS),
            stop_ms: (stop_s.unwrap_or(DEFAULT_STOP_S) * MS_PER_S) as u64,
        }
    }
}

/// The retry budget of the whole fleet.
struct Retries {
    ratio: Share,
    slack: u32,
    window_ms: DurationMs,
}

impl Retries {
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
