//! Settings of logs, shared by all commands that log.

use crate::configs::settings_reader::{SettingReader, SettingSource};
use derive_more::{Display, Error};
use std::str::FromStr;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    #[display("json")]
    Json,
    /// Readable text.
    #[display("text")]
    Text,
}

/// The error for an unknown log format.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("neither 'json' nor 'text'")]
pub struct UnknownLogFormat;

impl FromStr for LogFormat {
    type Err = UnknownLogFormat;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "json" => Ok(Self::Json),
            "text" => Ok(Self::Text),
            _ => Err(UnknownLogFormat),
        }
    }
}

/// Settings of logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogConfig {
    /// The format of lines.
    pub format: LogFormat,
    /// The lowest level that is written.
    pub level: log::LevelFilter,
}

impl LogConfig {
    /// Reads `--log-format` and `--log-level`.
    pub(crate) fn read(reader: &mut SettingReader<'_, impl SettingSource>) -> Self {
        let default = Self::default();
        let format = reader.optional("log-format", "json or text");
        let level = reader.optional("log-level", "error, warn, info or debug");
        Self {
            format: format.unwrap_or(default.format),
            level: level.unwrap_or(default.level),
        }
    }
}

impl Default for LogConfig {
    fn default() -> Self {
        Self {
            format: LogFormat::Json,
            level: log::LevelFilter::Info,
        }
    }
}
