//! Settings of `serve`: flags, then environment variables, then defaults; checked together.

use crate::configs::log::LogConfig;
use crate::configs::operators::OperatorToken;
use crate::configs::peers::PeersConfig;
use crate::configs::serving::ServingConfig;
use bridgevane_types::{DataCentreId, VmId};
use derive_more::{Display, Error};
use std::net::SocketAddr;
use std::str::FromStr;

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

/// What was wrong with one setting.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("--{flag} ({variable}): {what}")]
pub struct SettingProblem {
    /// The flag.
    pub flag: &'static str,
    /// Its environment variable.
    pub variable: String,
    /// What is wrong, and what would be right.
    pub what: String,
}

/// All that was wrong with the settings.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{}", problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct SettingProblems {
    /// Every problem.
    pub problems: Vec<SettingProblem>,
}

/// Where a setting's text comes from.
pub trait SettingSource {
    /// The text of `flag`, from the command line or its variable.
    fn text(&self, flag: &'static str) -> Option<String>;
}

/// The environment variable of a flag: `--vm-id` is `BRIDGEVANE_VM_ID`.
pub fn variable_of(flag: &str) -> String {
    format!("BRIDGEVANE_{}", flag.to_uppercase().replace('-', "_"))
}

/// Reads settings and gathers what is wrong with them.
struct Reader<'a, S> {
    source: &'a S,
    problems: Vec<SettingProblem>,
}

impl<S: SettingSource> Reader<'_, S> {
    fn fail(&mut self, flag: &'static str, what: String) {
        self.problems.push(SettingProblem {
            flag,
            variable: variable_of(flag),
            what,
        });
    }

    fn optional<T: FromStr>(&mut self, flag: &'static str, right: &str) -> Option<T> {
        let text = self.source.text(flag)?;
        let value = text.parse().ok();
        if value.is_none() {
            self.fail(flag, format!("'{text}' is not valid; give {right}"));
        }
        value
    }

    fn required<T: FromStr>(&mut self, flag: &'static str, right: &str) -> Option<T> {
        if self.source.text(flag).is_none() {
            self.fail(flag, format!("is missing; give {right}"));
            return None;
        }
        self.optional(flag, right)
    }

    fn list<T: FromStr>(&mut self, flag: &'static str, right: &str) -> Vec<T> {
        let text = self.source.text(flag).unwrap_or_default();
        let mut values = Vec::new();
        for part in text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
        {
            match part.parse() {
                Ok(value) => values.push(value),
                // The part may be a secret and isn't printed.
                Err(_) => self.fail(flag, format!("an entry is not valid; give {right}")),
            }
        }
        values
    }
}

const ADDRESS: &str = "an address such as 10.0.0.4:8080";
const NAME: &str = "a name";

impl ServeConfig {
    /// Reads and checks all settings.
    ///
    /// # Errors
    /// Every problem at once.
    pub fn read(source: &impl SettingSource) -> Result<Self, SettingProblems> {
        let mut reader = Reader {
            source,
            problems: Vec::new(),
        };
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
