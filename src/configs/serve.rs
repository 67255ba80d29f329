//! Settings of `serve`: flags, then environment variables, then defaults; checked together.

use crate::configs::log::LogConfig;
use crate::configs::operators::OperatorToken;
use crate::configs::peers::PeersConfig;
use crate::configs::serving::ServingConfig;
use crate::configs::settings_reader::{ADDRESS, NAME, Reader, SettingProblems, SettingSource};
use bridgevane_types::{DataCentreId, VmId};
use std::net::SocketAddr;

/// Everything that `serve` needs to know before it starts.
#[derive(Clone, Debug)]
pub struct ServeConfig {
    /// This VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// The platform.
    pub platform_address: SocketAddr,
    /// Connections between daemons.
    pub peers: PeersConfig,
    /// The key that daemons share.
    pub peer_key: Secret,
    /// Operators.
    pub operators: Vec<OperatorToken>,
    /// Logs.
    pub log: LogConfig,
    /// The path of a request.
    pub serving: ServingConfig,
}

/// A text that is never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(pub String);

impl std::fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("***")
    }
}

impl ServeConfig {
    /// Reads and checks all settings.
    ///
    /// # Errors
    /// Every problem at once.
    pub fn read(source: &impl SettingSource) -> Result<Self, SettingProblems> {
        let mut reader = Reader::new(source);
        let vm: Option<VmId> = reader.required("vm-id", NAME);
        let data_centre: Option<DataCentreId> = reader.required("data-centre", NAME);
        let caller_address = reader.required("caller-address", ADDRESS);
        let operator_address = reader.required("operator-address", ADDRESS);
        let platform_address = reader.required("platform-address", ADDRESS);
        let peer_address = reader.required("peer-address", ADDRESS);
        let seeds = reader.list("peer-seeds", "addresses with commas between them");
        let peer_key: Option<String> = reader.required("peer-key", "a text of 16 or more");
        let operators = reader.list("operator-tokens", "name:token pairs with commas between");
        let format = reader
            .optional("log-format", "json or text")
            .unwrap_or_default();
        let level = reader.optional("log-level", "error, warn, info or debug");
        const MIN_KEY_LEN: usize = 16;
        if peer_key.as_ref().is_some_and(|key| key.len() < MIN_KEY_LEN) {
            reader.fail(
                "peer-key",
                format!("is short; give {MIN_KEY_LEN} characters or more"),
            );
        }
        let problems = reader.problems;
        let all = (
            vm,
            data_centre,
            caller_address,
            operator_address,
            platform_address,
            peer_address,
            peer_key,
        );
        let (
            Some(vm),
            Some(data_centre),
            Some(caller_address),
            Some(operator_address),
            Some(platform_address),
            Some(peer_address),
            Some(peer_key),
        ) = all
        else {
            return Err(SettingProblems { problems });
        };
        if !problems.is_empty() {
            return Err(SettingProblems { problems });
        }
        Ok(Self {
            vm,
            data_centre,
            caller_address,
            operator_address,
            platform_address,
            peers: PeersConfig::new(peer_address, seeds),
            peer_key: Secret(peer_key),
            operators,
            log: LogConfig {
                format,
                level: level.unwrap_or(log::LevelFilter::Info),
            },
            serving: ServingConfig::default(),
        })
    }
}
