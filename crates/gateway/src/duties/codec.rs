//! Encoding and decoding of the duties' values in the platform's store and of their messages
//! between daemons.
//!
//! The messages are defined in `bridgevane-protocol`; their field numbers never change.

use crate::control::source::SourceEra;
use crate::decisions::duties::duty_state::{DutyState, WindowUsage};
use crate::decisions::duties::usage_collection::{DaemonIncarnation, ReportAnswer, UsageReport};
use crate::decisions::duties::usage_counts::UsageCounts;
use crate::decisions::duties::usage_window::UsageWindow;
use bridgevane_protocol::{
    CustomerRequests, DutyState as DutyStateMessage, NeededEngines, UsageHeard, UsageReported,
    WindowRequests,
};
use bridgevane_types::{CustomerId, FenceToken, Incarnation, ServiceName, VmId};
use bytes::Bytes;
use prost::{DecodeError, Message};

/// The fence in messages that name none.
const NO_FENCE: FenceToken = FenceToken(0);

/// Encodes the duties' state as a value of the store.
pub(super) fn encode_state(state: &DutyState) -> Bytes {
    let needed = state.needed_engines.iter();
    let message = DutyStateMessage {
        vm: state.holder.vm.to_string(),
        incarnation: state.holder.incarnation.0,
        told: state.submitted_windows.iter().map(encode_window).collect(),
        daemons: u32::try_from(state.daemons).unwrap_or(u32::MAX),
        needed_engines: needed
            .map(|(service, engines)| NeededEngines {
                service: service.to_string(),
                engines: *engines,
            })
            .collect(),
        era: state.era.0,
        first_window: state.first_window.0,
    };
    message.encode_to_vec().into()
}

/// Decodes the duties' state.
pub(super) fn decode_state(value: &Bytes) -> Result<DutyState, DecodeError> {
    let message = DutyStateMessage::decode(value.clone())?;
    let needed = message.needed_engines.into_iter();
    Ok(DutyState {
        holder: decode_daemon(&message.vm, message.incarnation),
        era: SourceEra(message.era),
        first_window: UsageWindow(message.first_window),
        submitted_windows: message.told.into_iter().map(decode_window).collect(),
        daemons: message.daemons as usize,
        needed_engines: needed
            .map(|needed| {
                let service = ServiceName::from(needed.service.as_str());
                (service, needed.engines)
            })
            .collect(),
    })
}

/// Encodes a daemon's usage report.
pub(super) fn encode_report(report: &UsageReport) -> UsageReported {
    let windows = report.windows.iter();
    UsageReported {
        vm: report.daemon.vm.to_string(),
        incarnation: report.daemon.incarnation.0,
        first_open_window: report.first_open.0,
        windows: windows
            .map(|(window, counts)| WindowRequests {
                window: window.0,
                customers: encode_customers(counts),
            })
            .collect(),
        acknowledged_fence: report.acknowledged_by.unwrap_or(NO_FENCE).0,
        newest_stored_window: report.newest_stored.0,
    }
}

/// Decodes a daemon's usage report.
pub(crate) fn decode_report(message: UsageReported) -> UsageReport {
    let windows = message.windows.into_iter().map(decode_window);
    UsageReport {
        daemon: decode_daemon(&message.vm, message.incarnation),
        first_open: UsageWindow(message.first_open_window),
        windows: windows.map(|usage| (usage.window, usage.counts)).collect(),
        acknowledged_by: Some(FenceToken(message.acknowledged_fence))
            .filter(|fence| *fence != NO_FENCE),
        newest_stored: UsageWindow(message.newest_stored_window),
    }
}

/// Encodes the answer to a usage report; none: this daemon doesn't hold the duties.
pub(crate) fn encode_answer(answer: Option<ReportAnswer>) -> UsageHeard {
    UsageHeard {
        is_holder: answer.is_some(),
        fence: answer.map_or(NO_FENCE, |answer| answer.fence).0,
        newest_stored_window: answer.map_or(0, |answer| answer.newest_stored.0),
    }
}

/// Decodes the answer to a usage report; a holder of an earlier version names no fence.
pub(super) fn decode_answer(heard: &UsageHeard) -> Option<ReportAnswer> {
    heard.is_holder.then_some(ReportAnswer {
        fence: FenceToken(heard.fence),
        newest_stored: UsageWindow(heard.newest_stored_window),
    })
}

fn decode_daemon(vm: &str, incarnation: u64) -> DaemonIncarnation {
    DaemonIncarnation {
        vm: VmId::from(vm),
        incarnation: Incarnation(incarnation),
    }
}

fn encode_window(usage: &WindowUsage) -> WindowRequests {
    WindowRequests {
        window: usage.window.0,
        customers: encode_customers(&usage.counts),
    }
}

fn decode_window(message: WindowRequests) -> WindowUsage {
    let customers = message.customers.into_iter();
    let counts: UsageCounts = customers
        .map(|entry| (CustomerId::from(entry.customer.as_str()), entry.requests))
        .collect();
    WindowUsage {
        window: UsageWindow(message.window),
        counts,
    }
}

fn encode_customers(counts: &UsageCounts) -> Vec<CustomerRequests> {
    let counts = counts.iter();
    counts
        .map(|(customer, requests)| CustomerRequests {
            customer: customer.to_string(),
            requests,
        })
        .collect()
}
