//! Settings of logs.

use derive_more::{Display, Error};
use std::str::FromStr;

/// The form of a log line.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    #[display("json")]
    Json,
    /// For people.
    #[display("text")]
    Text,
}

/// The text names no log format.
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

/// Logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogConfig {
    /// The form of a line.
    pub format: LogFormat,
    /// The least level that is written.
    pub level: log::LevelFilter,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self {
            format: LogFormat::Json,
            level: log::LevelFilter::Info,
        }
    }
}
