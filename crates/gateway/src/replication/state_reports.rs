//! Reports between daemons of how complete their states are.
//!
//! Polls and probes carry them to a daemon's upstream, answers to its followers; [`super::seed_reports`]
//! sends them where there is no upstream.

use crate::control::source::{Revision, SourceEra};
use crate::control::state::StateReport;
use crate::decisions::replication::completeness::Completeness;
use crate::gateway::Gateway;
use bridgevane_protocol::{Completeness as CompletenessMessage, StateReport as StateReportMessage};
use bridgevane_types::ConfigVersion;
use std::net::SocketAddr;

/// Returns this daemon's report; none before its first state.
pub(crate) fn own(gateway: &Gateway) -> Option<StateReportMessage> {
    let report = gateway.control.state_report();
    let has_state = report.at > Revision(0);
    has_state.then(|| encode(report))
}

/// Applies another daemon's report. A newer configuration that the source doesn't list any more is
/// fetched from `daemon`, if it can be polled.
pub(crate) fn apply(
    gateway: &Gateway,
    daemon: Option<SocketAddr>,
    message: Option<&StateReportMessage>,
) {
    let Some(report) = message.and_then(decode) else {
        return;
    };
    let control = &gateway.control;
    if control.lacks_configuration(report.at, report.config_version)
        && let Some(daemon) = daemon
    {
        gateway.fleet.on_newer_configuration(daemon);
    }
    control.on_state_report(report);
}

fn encode(report: StateReport) -> StateReportMessage {
    let completeness = match report.completeness {
        Completeness::Unwitnessed => CompletenessMessage::Unwitnessed,
        Completeness::Witnessed => CompletenessMessage::Witnessed,
        Completeness::Complete => CompletenessMessage::Complete,
    };
    StateReportMessage {
        era: report.at.era().0,
        at: report.at.counter(),
        completeness: completeness.into(),
        config_version: report.config_version.0,
    }
}

/// Decodes a report; one without a known completeness says nothing.
fn decode(message: &StateReportMessage) -> Option<StateReport> {
    let completeness = match message.completeness() {
        CompletenessMessage::Unspecified => return None,
        CompletenessMessage::Unwitnessed => Completeness::Unwitnessed,
        CompletenessMessage::Witnessed => Completeness::Witnessed,
        CompletenessMessage::Complete => Completeness::Complete,
    };
    Some(StateReport {
        at: Revision::new(SourceEra(message.era), message.at),
        completeness,
        config_version: ConfigVersion(message.config_version),
    })
}
