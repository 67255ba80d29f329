//! The duties' values in the platform's store and their messages between daemons, and back.
//!
//! The messages are `bridgevane-protocol`'s; their field numbers never change.

use crate::decisions::duties::duty_state::{DutyState, WindowUsage};
use crate::decisions::duties::usage_collection::{DaemonLife, UsageReport};
use crate::decisions::duties::usage_counts::UsageCounts;
use crate::decisions::duties::usage_window::UsageWindow;
use bridgevane_protocol::{
    CustomerRequests, DutyState as DutyStateMessage, NeededEngines, UsageReported, WindowRequests,
};
use bridgevane_types::{CustomerId, Incarnation, ServiceName, VmId};
use bytes::Bytes;
use prost::{DecodeError, Message};

/// The value of the duties' state.
pub(super) fn state_value(state: &DutyState) -> Bytes {
    let needed = state.needed_engines.iter();
    let message = DutyStateMessage {
        vm: state.holder.vm.to_string(),
        incarnation: state.holder.incarnation.0,
        told: state.told.iter().map(window_message).collect(),
        daemons: u32::try_from(state.daemons).unwrap_or(u32::MAX),
        needed_engines: needed
            .map(|(service, engines)| NeededEngines {
                service: service.to_string(),
                engines: *engines,
            })
            .collect(),
    };
    message.encode_to_vec().into()
}

/// The state of a value.
pub(super) fn state_of_value(value: &Bytes) -> Result<DutyState, DecodeError> {
    let message = DutyStateMessage::decode(value.clone())?;
    let needed = message.needed_engines.into_iter();
    Ok(DutyState {
        holder: life(&message.vm, message.incarnation),
        told: message.told.into_iter().map(window_of_message).collect(),
        daemons: message.daemons as usize,
        needed_engines: needed
            .map(|needed| {
                let service = ServiceName::from(needed.service.as_str());
                (service, needed.engines)
            })
            .collect(),
    })
}

/// A daemon's report as a message.
pub(super) fn report_message(report: &UsageReport) -> UsageReported {
    let windows = report.windows.iter();
    UsageReported {
        vm: report.daemon.vm.to_string(),
        incarnation: report.daemon.incarnation.0,
        first_open_window: report.first_open.0,
        windows: windows
            .map(|(window, counts)| WindowRequests {
                window: window.0,
                customers: customer_messages(counts),
            })
            .collect(),
    }
}

/// The report of a message.
pub(crate) fn decode_report(message: UsageReported) -> UsageReport {
    let windows = message.windows.into_iter().map(window_of_message);
    UsageReport {
        daemon: life(&message.vm, message.incarnation),
        first_open: UsageWindow(message.first_open_window),
        windows: windows.map(|usage| (usage.window, usage.counts)).collect(),
    }
}

fn life(vm: &str, incarnation: u64) -> DaemonLife {
    DaemonLife {
        vm: VmId::from(vm),
        incarnation: Incarnation(incarnation),
    }
}

fn window_message(usage: &WindowUsage) -> WindowRequests {
    WindowRequests {
        window: usage.window.0,
        customers: customer_messages(&usage.counts),
    }
}

fn window_of_message(message: WindowRequests) -> WindowUsage {
    let customers = message.customers.into_iter();
    let counts: UsageCounts = customers
        .map(|entry| (CustomerId::from(entry.customer.as_str()), entry.requests))
        .collect();
    WindowUsage {
        window: UsageWindow(message.window),
        counts,
    }
}

fn customer_messages(counts: &UsageCounts) -> Vec<CustomerRequests> {
    let counts = counts.iter();
    counts
        .map(|(customer, requests)| CustomerRequests {
            customer: customer.to_string(),
            requests,
        })
        .collect()
}
