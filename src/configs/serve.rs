//! Settings of `serve`: flags, then environment variables, then defaults; checked together.

use crate::configs::log::LogConfig;
use crate::configs::operators::OperatorToken;
use crate::configs::peers::PeersConfig;
use crate::configs::serving::ServingConfig;
use crate::configs::settings_reader::{
    ADDRESS, NAME, Required, SettingProblems, SettingReader, SettingSource,
};
use bridgevane_types::{DataCentreId, VmId};
use std::net::SocketAddr;

/// The shortest key that daemons may share. Not measured, chosen because a shorter one can be
/// guessed by trying.
const MIN_PEER_KEY_LEN: usize = 16;

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
        let mut reader = SettingReader::new(source);
        let vm: Required<VmId> = reader.required("vm-id", NAME);
        let data_centre: Required<DataCentreId> = reader.required("data-centre", NAME);
        let caller_address = reader.required("caller-address", ADDRESS);
        let operator_address = reader.required("operator-address", ADDRESS);
        let platform_address = reader.required("platform-address", ADDRESS);
        let peer_address = reader.required("peer-address", ADDRESS);
        let seeds = reader.list("peer-seeds", "addresses with commas between them");
        let peer_key: Required<String> = reader.required("peer-key", "a text of 16 or more");
        let operators = reader.list("operator-tokens", "name:token pairs with commas between");
        let log = LogConfig::read(&mut reader);
        if let Some(key) = peer_key.given()
            && key.len() < MIN_PEER_KEY_LEN
        {
            reader.fail(
                "peer-key",
                format!("is short; give {MIN_PEER_KEY_LEN} characters or more"),
            );
        }
        let read = reader.finish()?;
        Ok(Self {
            vm: vm.value(&read),
            data_centre: data_centre.value(&read),
            caller_address: caller_address.value(&read),
            operator_address: operator_address.value(&read),
            platform_address: platform_address.value(&read),
            peers: PeersConfig::new(peer_address.value(&read), seeds),
            peer_key: Secret(peer_key.value(&read)),
            operators,
            log,
            serving: ServingConfig::default(),
        })
    }
}
