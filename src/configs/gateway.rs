//! Settings of `gateway`: flags, then environment variables, then defaults; checked together.

use crate::configs::log::LogConfig;
use crate::configs::settings_reader::{ADDRESS, NAME, Reader, SettingProblems, SettingSource};
use bridgevane_gateway::GatewaySettings;
use bridgevane_types::{Bytes, DurationMs, Share};
use log::LevelFilter;
use std::net::SocketAddr;

/// Everything that `gateway` needs to know before it starts.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// The gateway's own.
    pub gateway: GatewaySettings,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// Logs.
    pub log: LogConfig,
}

const MILLISECONDS: &str = "a number of milliseconds";
/// Of the time that a key may still be used after its removal, what is left for the request
/// itself to get out.
const PROOF_MARGIN_MS: u64 = 300;
/// Of the time in which an endpoint's leaving must be in force, what is left for requests to
/// get there.
const LAPSE_MARGIN_MS: u64 = 300;
/// One wait for changes, before it is asked again: what is believed is proved to be the
/// newest that often. Few daemons ask, and the others are as old as these.
const WATCH_WAIT: DurationMs = DurationMs(500);
/// The balancer asks once a second and believes the second miss.
const BALANCER_DELAY: DurationMs = DurationMs(2_600);
/// Of the time that a stop may take, what is kept for the end.
const STOP_MARGIN_MS: u64 = 400;
/// The part of the memory that bodies may take.
const BODY_SHARE: u64 = 4;

impl GatewayConfig {
    /// Reads and checks all settings.
    ///
    /// # Errors
    /// Every problem at once.
    pub fn read(source: &impl SettingSource) -> Result<Self, SettingProblems> {
        let mut reader = Reader::new(source);
        let vm = reader.required("vm-id", NAME);
        let data_centre = reader.required("data-centre", NAME);
        let client_address = reader.required("client-address", ADDRESS);
        let ready_address = reader.required("ready-address", ADDRESS);
        let store_address = reader.required("store-address", ADDRESS);
        let peer_address = reader.optional("peer-address", ADDRESS);
        let seed_addresses = reader.list("seed-addresses", ADDRESS);
        let revoke_ms: Option<u64> = reader.optional("key-removal-ms", MILLISECONDS);
        let drain_ms: Option<u64> = reader.optional("drain-ms", MILLISECONDS);
        let stop_s: Option<f64> = reader.optional("stop-s", "a number of seconds");
        let retry_ratio: Option<f64> = reader.optional("retry-ratio", "a share such as 0.2");
        let retry_slack: Option<f64> = reader.optional("retry-slack", "a number of repeats");
        let retry_window_s: Option<f64> = reader.optional("retry-window-s", "seconds");
        let memory_mb: Option<u64> = reader.optional("memory-mb", "a number of megabytes");
        let format = reader.optional("log-format", "json or text");
        let level = reader.optional("log-level", "error, warn, info or debug");
        let problems = std::mem::take(&mut reader.problems);
        let all = (
            vm,
            data_centre,
            client_address,
            ready_address,
            store_address,
        );
        let (
            Some(vm),
            Some(data_centre),
            Some(client_address),
            Some(ready_address),
            Some(store_address),
        ) = all
        else {
            return Err(SettingProblems { problems });
        };
        if !problems.is_empty() {
            return Err(SettingProblems { problems });
        }
        let revoke_ms = revoke_ms.unwrap_or(5_000);
        let drain_ms = drain_ms.unwrap_or(2_000);
        let stop_ms = (stop_s.unwrap_or(10.0) * 1_000.0) as u64;
        let window_ms = retry_window_s.unwrap_or(10.0) * 1_000.0;
        Ok(Self {
            gateway: GatewaySettings {
                vm,
                data_centre,
                client_address,
                ready_address,
                peer_address,
                seed_addresses,
                lapse_grace_ms: DurationMs(drain_ms.saturating_sub(LAPSE_MARGIN_MS)),
                proof_lifetime_ms: DurationMs(revoke_ms.saturating_sub(PROOF_MARGIN_MS)),
                watch_wait_ms: WATCH_WAIT,
                stop_ms: DurationMs(stop_ms.saturating_sub(STOP_MARGIN_MS)),
                balancer_delay_ms: BALANCER_DELAY,
                retry_ratio: Share(retry_ratio.unwrap_or(0.2)),
                retry_slack: retry_slack.unwrap_or(12.0) as u32,
                retry_window_ms: DurationMs(window_ms as u64),
                max_buffered_bytes: Bytes((memory_mb.unwrap_or(128) << 20) / BODY_SHARE),
            },
            store_address,
            log: LogConfig {
                format: format.unwrap_or_default(),
                level: level.unwrap_or(LevelFilter::Info),
            },
        })
    }
}
