//! Reports this daemon's usage counts to the holder of the duties.
//!
//! Owns one connection, to the holder that the replica names. Reports go directly to the holder, not
//! up the tree of followers: see docs/design/16.

use crate::control::duty_holder::HolderView;
use crate::control::holder_record::HolderRecord;
use crate::decisions::duties::unreported_usage::UnreportedUsage;
use crate::decisions::duties::usage_collection::{DaemonIncarnation, ReportAnswer, UsageReport};
use crate::duties::codec::{decode_answer, encode_report};
use crate::gateway::Gateway;
use crate::replication::peer_connection::{FramedStream, open_connection};
use crate::replication::peer_error::PeerError;
use bridgevane_protocol::Frame;
use bridgevane_protocol::frame::Body;
use futures_util::{SinkExt, StreamExt};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The interval between two reports. The counts since the last report are lost when a daemon
/// crashes: if a sixth of the daemons crash at once, at most a thirtieth of the counts of a window of
/// 5 s is lost, well within the 5 % by which usage may be off.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// Daemons spread their reports over this part of the interval, so that not all of a large fleet
/// call the holder at once, and the last report of a window still arrives in time.
const SPREAD_MS: u64 = 300;
/// Timeout for the holder's answer, which is sent immediately.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Reports usage to the holder, until the daemon ends.
pub async fn run(gateway: Arc<Gateway>) {
    if gateway.usage_tracker.calendar().is_none() {
        return;
    }
    let phase_ms = rand::random_range(0..SPREAD_MS);
    let mut reporter = Reporter {
        gateway,
        connection: None,
        unreported: UnreportedUsage::default(),
    };
    loop {
        sleep(reporter.until_next_report(phase_ms)).await;
        reporter.report_changes().await;
    }
}

/// Sends the final report to the holder when the process ends.
pub async fn report_final(gateway: Arc<Gateway>) {
    let Some(report) = gateway.usage_tracker.final_report() else {
        return;
    };
    let Some(holder) = other_holder(&gateway) else {
        return;
    };
    let mut reporter = Reporter {
        gateway,
        connection: None,
        unreported: UnreportedUsage::default(),
    };
    // Not retried: the process ends.
    let _ = reporter.send_report(&holder, &report).await;
}

struct Reporter {
    gateway: Arc<Gateway>,
    connection: Option<(DaemonIncarnation, FramedStream)>,
    unreported: UnreportedUsage,
}

impl Reporter {
    /// Returns the time until the next report: at the same offset in every second, so that windows
    /// that have just been closed are reported soon.
    fn until_next_report(&self, phase_ms: u64) -> Duration {
        let clock = &self.gateway.clock;
        let now_ms = clock.wall_time_at(clock.now()).0;
        let since_last_ms = (now_ms + REPORT_INTERVAL_MS - phase_ms) % REPORT_INTERVAL_MS;
        Duration::from_millis(REPORT_INTERVAL_MS - since_last_ms)
    }

    /// Reports the counts that the holder hasn't acknowledged.
    async fn report_changes(&mut self) {
        let Some(holder) = other_holder(&self.gateway) else {
            self.connection = None;
            return;
        };
        let Some(own) = self.gateway.usage_tracker.own_report() else {
            return;
        };
        // A session that doesn't accept the report gets all counts at once.
        for _ in 0..2 {
            let Some(report) = self.unreported.report(&holder.daemon, &own) else {
                return;
            };
            // Not logged: the report is repeated until it is acknowledged.
            let Ok(Some(answer)) = self.send_report(&holder, &report).await else {
                self.unreported.on_no_answer();
                return;
            };
            let tracker = &self.gateway.usage_tracker;
            tracker.on_window_stored(answer.newest_stored);
            let unreported = &mut self.unreported;
            if unreported.on_answer(&holder.daemon, &own, &report, answer.fence) {
                return;
            }
        }
    }

    /// Sends a report; returns the other daemon's answer, if it holds the duties.
    async fn send_report(
        &mut self,
        holder: &HolderRecord,
        report: &UsageReport,
    ) -> Result<Option<ReportAnswer>, PeerError> {
        let address = holder.peer_address.ok_or(PeerError::Refused)?;
        let mut frames = match self.connection.take() {
            Some((daemon, frames)) if daemon == holder.daemon => frames,
            _ => open_connection(address).await?,
        };
        let body = Some(Body::UsageReported(encode_report(report)));
        let sending = async {
            let sent = frames.send(Frame { body }).await;
            sent.map_err(|_| PeerError::Broken)?;
            let frame = frames.next().await.ok_or(PeerError::Broken)?;
            match frame.map_err(|_| PeerError::Broken)?.body {
                Some(Body::UsageHeard(heard)) => Ok(decode_answer(&heard)),
                _ => Err(PeerError::Unreadable),
            }
        };
        let sent = timeout(ANSWER_TIMEOUT, sending).await;
        let answer = sent.map_err(|_| PeerError::NoAnswer)??;
        self.connection = Some((holder.daemon.clone(), frames));
        Ok(answer)
    }
}

/// Returns the holder of the duties, if it is another daemon.
fn other_holder(gateway: &Gateway) -> Option<HolderRecord> {
    match gateway.control.duty_holder().view() {
        HolderView::Held(holder) if holder.daemon != *gateway.usage_tracker.daemon() => {
            Some(holder.clone())
        }
        _ => None,
    }
}
