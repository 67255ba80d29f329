//! Settings of `serve`, read from flags, then environment variables, then defaults, and checked
//! together.

use crate::configs::clients;
use crate::configs::log::LogConfig;
use crate::configs::operators::OperatorToken;
use crate::configs::peers::PeersConfig;
use crate::configs::serving::ServingConfig;
use crate::configs::settings_reader::{
    ADDRESS, NAME, Required, SettingProblems, SettingReader, SettingSource,
};
use bridgevane_client_limits::{ClientPlan, ClientShares};
use bridgevane_types::{DataCentreId, VmId};
use std::net::SocketAddr;

/// The minimum length of the daemons' shared key; shorter keys can be guessed by trial.
const MIN_PEER_KEY_LEN: usize = 16;
/// The parts of the memory that callers may use. The rest is for the daemon itself: with the homes of two
/// pools it needs some 73 MB (see docs/CAPACITY.md).
pub(crate) const CLIENT_SHARES: ClientShares = ClientShares {
    all_percent: 40,
    bodies_percent: 32,
};

/// All settings of `serve`.
#[derive(Clone, Debug)]
pub struct ServeConfig {
    /// The name of this VM.
    pub vm: VmId,
    /// The data centre of this VM.
    pub data_centre: DataCentreId,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for operators.
    pub operator_address: SocketAddr,
    /// The address of the platform's service.
    pub platform_address: SocketAddr,
    /// The settings of connections between daemons.
    pub peers: PeersConfig,
    /// The shared key of all daemons.
    pub peer_key: Secret,
    /// The operators and their tokens.
    pub operators: Vec<OperatorToken>,
    /// What callers may make the process hold.
    pub clients: ClientPlan,
    /// The settings of logs.
    pub log: LogConfig,
    /// The settings of request handling.
    pub serving: ServingConfig,
}

/// A text that is masked in debug output.
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
    /// [`SettingProblems`] with all problems that were found.
    pub fn read(source: &impl SettingSource) -> Result<Self, SettingProblems> {
        let mut reader = SettingReader::new(source);
        let vm: Required<VmId> = reader.required("vm-id", NAME);
        let data_centre: Required<DataCentreId> = reader.required("data-centre", NAME);
        let caller_address = reader.required("caller-address", ADDRESS);
        let operator_address = reader.required("operator-address", ADDRESS);
        let platform_address = reader.required("platform-address", ADDRESS);
        let peer_address = reader.required("peer-address", ADDRESS);
        let seeds = reader.list("peer-seeds", "addresses, separated by commas");
        let peer_key: Required<String> =
            reader.required("peer-key", "a key of 16 characters or more");
        let operators = reader.list("operator-tokens", "name:token pairs, separated by commas");
        let clients = clients::read_plan(&mut reader, CLIENT_SHARES);
        let log = LogConfig::read(&mut reader);
        if let Some(key) = peer_key.get()
            && key.len() < MIN_PEER_KEY_LEN
        {
            reader.add_problem(
                "peer-key",
                format!("is too short; give {MIN_PEER_KEY_LEN} characters or more"),
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
            clients,
            log,
            serving: ServingConfig::default(),
        })
    }
}
