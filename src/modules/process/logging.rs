//! Formats log lines: one line per event, as JSON or as readable text.

use crate::configs::log::{LogConfig, LogFormat};
use crate::modules::process::log_writer::Sink;
use bridgevane_types::{DataCentreId, VmId};
use derive_more::{Display, Error, From};
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{Map, Value as Json};
use std::fmt::Write as _;
use std::time::SystemTime;

/// The error for setting up logging twice.
#[derive(Debug, Display, Error, From)]
#[display("logging is already set up")]
pub(crate) struct LoggingError {
    source: log::SetLoggerError,
}

/// Collects an event's fields.
struct Fields {
    map: Map<String, Json>,
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let json = match value.to_u64() {
            Some(number) => Json::from(number),
            None => Json::from(value.to_string()),
        };
        self.map.insert(key.to_string(), json);
        Ok(())
    }
}

fn fields_of(record: &Record<'_>) -> Map<String, Json> {
    let mut fields = Fields { map: Map::new() };
    // A field that can't be formatted is left out.
    let _ = record.key_values().visit(&mut fields);
    fields.map
}

/// The origin of log lines. JSON lines contain it if it is given, because the logs of many daemons
/// are often merged.
#[derive(Clone, Debug)]
pub(crate) struct LineOrigin {
    /// The name of the VM.
    pub(crate) vm: VmId,
    /// The VM's data centre.
    pub(crate) data_centre: DataCentreId,
}

fn json_line(record: &Record<'_>, origin: Option<&LineOrigin>) -> String {
    let mut line = Map::new();
    let at = humantime::format_rfc3339_millis(SystemTime::now());
    line.insert("at".into(), at.to_string().into());
    line.insert("level".into(), record.level().as_str().into());
    line.insert("text".into(), record.args().to_string().into());
    if let Some(origin) = origin {
        line.insert("vm".into(), origin.vm.to_string().into());
        line.insert("data_centre".into(), origin.data_centre.to_string().into());
    }
    line.extend(fields_of(record));
    Json::Object(line).to_string()
}

fn text_line(record: &Record<'_>) -> String {
    let at = humantime::format_rfc3339_millis(SystemTime::now());
    let mut line = format!("{at} {:5} {}", record.level(), record.args());
    for (key, value) in fields_of(record) {
        // Writing to memory can't fail.
        let _ = match value {
            Json::String(text) => write!(line, " {key}={text}"),
            other => write!(line, " {key}={other}"),
        };
    }
    line
}

/// Writes logs to standard error, and waits for its reader: for commands that a person runs.
///
/// # Errors
/// [`LoggingError`] if logging is already set up.
#[cfg(feature = "standins")]
pub(crate) fn set_up_on_stderr(config: LogConfig) -> Result<(), LoggingError> {
    dispatch(config, None, std::io::stderr().into())
}

/// Sends logs to a sink that never blocks its callers. JSON lines include their origin if it is given.
///
/// # Errors
/// [`LoggingError`] if logging is already set up.
pub(crate) fn set_up(
    config: LogConfig,
    origin: Option<LineOrigin>,
    sink: Sink,
) -> Result<(), LoggingError> {
    let output = fern::Output::call(move |record| sink.push(&record.args().to_string()));
    dispatch(config, origin, output)
}

fn dispatch(
    config: LogConfig,
    origin: Option<LineOrigin>,
    output: fern::Output,
) -> Result<(), LoggingError> {
    let format = config.format;
    fern::Dispatch::new()
        .format(move |out, _message, record| match format {
            LogFormat::Json => {
                out.finish(format_args!("{}", json_line(record, origin.as_ref())));
            }
            LogFormat::Text => out.finish(format_args!("{}", text_line(record))),
        })
        .level(LevelFilter::Warn)
        .level_for("bridgevane", config.level)
        .chain(output)
        .apply()?;
    Ok(())
}
