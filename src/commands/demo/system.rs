//! Starts the demo's daemon and stand-ins in one process on loopback.

use super::{FaultKind, User};
use crate::commands::serve;
use crate::configs::clients;
use crate::configs::log::LogConfig;
use crate::configs::peers::PeersConfig;
use crate::configs::serve::{CLIENT_SHARES, Secret, ServeConfig};
use crate::configs::serving::ServingConfig;
use crate::modules::process::http_serve::Servers;
use crate::modules::serve::configuration::watch::CONFIG_KEY;
use crate::modules::serve::context::Context;
use bridgevane_config::{ConfigProblems, Document, Envelope, EnvelopeError, ServiceKind};
use bridgevane_standins::{
    EngineSpec, EngineStandin, EngineStandinSettings, PlainStandin, PlatformSettings,
    PlatformStandin, StandinError, StandinFault, StandinServer, serve as serve_standin,
};
use bridgevane_types::{
    ConfigVersion, DataCentreId, DurationMs, Incarnation, ModelName, ServiceName, Slots,
};
use derive_more::{Display, Error, From};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The token of the demo's operator.
pub(super) const OPERATOR_TOKEN: &str = "demo-operator-token";
/// The prefix of the customers' keys; the customer's name follows it.
const KEY_PREFIX: &str = "key-of-";
/// The data centre of all engines.
const DATA_CENTRE: &str = "loopback";

const RAVATON: &str = include_str!("../../../examples/ravaton.toml");
const SOLCATA: &str = include_str!("../../../examples/solcata.toml");

/// The reason why the demo can't be started.
#[derive(Debug, Display, Error, From)]
pub enum DemoError {
    /// The example configuration has problems.
    #[display("{_0}")]
    Config(ConfigProblems),
    /// The example configuration can't be stored.
    #[display("{_0}")]
    Envelope(EnvelopeError),
    /// A stand-in can't listen.
    #[display("{_0}")]
    Standin(StandinError),
    /// The daemon can't listen.
    #[display("{_0}")]
    Daemon(std::io::Error),
}

/// The running daemon and stand-ins.
pub(super) struct DemoSystem {
    pub(super) context: Arc<Context>,
    /// Keeps the daemon's servers running until this is dropped.
    _servers: Servers,
    pub(super) document: Document,
    pub(super) model: ModelName,
    pub(super) model_service: ServiceName,
    pub(super) plain_service: ServiceName,
    platform: PlatformStandin,
    engines: Vec<EngineStandin>,
    plain: PlainStandin,
    standin_servers: Vec<StandinServer>,
}

/// The stand-ins in which faults are injected.
pub(super) struct Faults {
    platform: PlatformStandin,
    engines: Vec<EngineStandin>,
}

impl Faults {
    pub(super) fn begin(&self, kind: FaultKind) {
        let one = |fault: StandinFault| self.engines[0].set_fault(fault);
        let all = |fault: StandinFault| {
            self.engines
                .iter()
                .for_each(|engine| engine.set_fault(fault))
        };
        match kind {
            FaultKind::None => {}
            FaultKind::SlowEngine => one(StandinFault {
                slowdown: 10.0,
                ..StandinFault::default()
            }),
            FaultKind::CrashEngine => one(StandinFault {
                crash: true,
                ..StandinFault::default()
            }),
            FaultKind::KvOutage => self.platform.set_fault(StandinFault {
                is_down: true,
                ..StandinFault::default()
            }),
            FaultKind::LateReports => all(StandinFault {
                load_lag_ms: DurationMs(2_000),
                ..StandinFault::default()
            }),
            FaultKind::LostCacheEvents => all(StandinFault {
                lose_cache_events: u32::MAX,
                ..StandinFault::default()
            }),
        }
    }

    pub(super) fn end(&self) {
        self.platform.set_fault(StandinFault::default());
        for engine in &self.engines {
            engine.set_fault(StandinFault::default());
        }
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl DemoSystem {
    pub(super) async fn start(user: User) -> Result<Self, DemoError> {
        let text = match user {
            User::Ravaton => RAVATON,
            User::Solcata => SOLCATA,
        };
        let mut document = Document::parse(text)?;
        let mut standin_servers = Vec::new();
        let mut engines = Vec::new();
        let plain = PlainStandin::new(false);
        let mut model = ModelName::new("");
        let mut model_service = ServiceName::new("");
        let mut plain_service = ServiceName::new("");
        for (name, service) in &mut document.service {
            if service.kind == ServiceKind::Model {
                model_service = name.clone();
                model = service.models.first().cloned().unwrap_or(model);
            } else {
                plain_service = name.clone();
            }
            for engine in service.engine.values_mut() {
                let router = if service.kind == ServiceKind::Model {
                    let standin = EngineStandin::new(engine_settings(engine.slots));
                    engines.push(standin.clone());
                    standin.router()
                } else {
                    plain.router()
                };
                let standin = serve_standin(loopback(), router).await?;
                engine.address = standin.address;
                engine.data_centre = DataCentreId::new(DATA_CENTRE);
                standin_servers.push(standin);
            }
        }
        let platform = PlatformStandin::new(PlatformSettings::default());
        let envelope = Envelope {
            version: ConfigVersion(1),
            operation: Vec::new(),
            document: document.clone(),
        };
        platform.put(CONFIG_KEY, &envelope.to_text()?);
        standin_servers.push(serve_standin(loopback(), platform.router()).await?);
        let platform_address = standin_servers[standin_servers.len() - 1].address;
        let started = serve::start(serve_config(platform_address), Incarnation(1)).await?;
        let system = Self {
            context: started.context,
            _servers: started.servers,
            document,
            model,
            model_service,
            plain_service,
            platform,
            engines,
            plain,
            standin_servers,
        };
        system.wait_until_ready().await;
        Ok(system)
    }

    async fn wait_until_ready(&self) {
        const MAX_CHECKS: u32 = 500;
        for _ in 0..MAX_CHECKS {
            if self.context.replica.may_serve() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    pub(super) fn platform_address(&self) -> SocketAddr {
        self.standin_servers[self.standin_servers.len() - 1].address
    }

    pub(super) fn faults(&self) -> Faults {
        Faults {
            platform: self.platform.clone(),
            engines: self.engines.clone(),
        }
    }

    /// Returns the key of a customer.
    pub(super) fn key_of(&self, customer: &str) -> String {
        format!("{KEY_PREFIX}{customer}")
    }

    /// Returns the key of the first customer.
    pub(super) fn any_key(&self) -> String {
        let first = self.document.customer.keys().next();
        self.key_of(first.map_or("", |customer| customer.as_str()))
    }

    /// Returns the total number of slots of all engines.
    pub(super) fn slots(&self) -> f64 {
        let service = &self.document.service[&self.model_service];
        service
            .engine
            .values()
            .map(|engine| f64::from(engine.slots.0))
            .sum()
    }

    /// Returns the idempotency keys whose call the plain service ran more than once.
    pub(super) fn repeated_keys(&self) -> Vec<String> {
        let runs = self.plain.runs_of_key();
        let repeated = runs.into_iter().filter(|(_, count)| *count > 1);
        repeated.map(|(key, _)| key).collect()
    }

    /// Returns the number of prompt and answer tokens that the engines computed.
    pub(super) fn computed_tokens(&self) -> u64 {
        let computed =
            |engine: &EngineStandin| engine.decoded_tokens().0 + engine.prefilled_tokens().0;
        self.engines.iter().map(computed).sum()
    }
}

fn engine_settings(slots: Slots) -> EngineStandinSettings {
    EngineStandinSettings {
        spec: EngineSpec {
            slots,
            ..EngineSpec::default()
        },
        checks_fence: true,
        ends_on: None,
    }
}

fn serve_config(platform_address: SocketAddr) -> ServeConfig {
    let operators = [format!("demo:{OPERATOR_TOKEN}")];
    ServeConfig {
        vm: "vm-demo".into(),
        data_centre: DataCentreId::new(DATA_CENTRE),
        caller_address: loopback(),
        operator_address: loopback(),
        platform_address,
        peers: PeersConfig::new(loopback(), Vec::new()),
        peer_key: Secret("only-for-the-demo".into()),
        operators: operators
            .iter()
            .filter_map(|text| text.parse().ok())
            .collect(),
        clients: clients::default_plan(CLIENT_SHARES),
        log: LogConfig::default(),
        serving: ServingConfig::default(),
    }
}
