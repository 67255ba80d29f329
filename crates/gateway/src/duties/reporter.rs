//! Telling the holder of the duties what this daemon counted.
//!
//! Owns one connection, to the holder that the replica names. Straight to the holder rather than up
//! the tree of followers: compared in docs/design/16.

use crate::control::duty_holder::HolderView;
use crate::control::holder_record::HolderRecord;
use crate::decisions::duties::usage_collection::{DaemonLife, UsageReport};
use crate::decisions::duties::usage_window::UsageWindow;
use crate::duties::codec::report_message;
use crate::gateway::Gateway;
use crate::replication::client::{FramedStream, open_connection};
use crate::replication::peer_error::PeerError;
use bridgevane_protocol::Frame;
use bridgevane_protocol::frame::Body;
use futures_util::{SinkExt, StreamExt};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The pause between two reports: what a dying daemon counted since the last one is lost. Not
/// measured by itself; a sixth of the daemons that die at once lose a thirtieth of their part of a
/// window of 5 s, well within the 5 in 100 that usage may be off.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// Daemons report spread over so much of the interval. Not measured, chosen so that the holder of a
/// large fleet isn't called by all at once, and the last is soon enough.
const SPREAD_MS: u64 = 300;
/// How long the holder may take to answer. Not measured, chosen because a report waits for nothing.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Tells the holder, until the daemon ends.
pub async fn run(gateway: Arc<Gateway>) {
    if gateway.duty_book.calendar().is_none() {
        return;
    }
    let phase_ms = rand::random_range(0..SPREAD_MS);
    let mut reporter = Reporter {
        gateway,
        connection: None,
        heard: None,
    };
    loop {
        sleep(reporter.until_next(phase_ms)).await;
        reporter.report_news().await;
    }
}

/// Tells the holder what this daemon counted when its process ends.
pub async fn report_last(gateway: Arc<Gateway>) {
    let Some(report) = gateway.duty_book.last_report() else {
        return;
    };
    let Some(holder) = other_holder(&gateway) else {
        return;
    };
    let mut reporter = Reporter {
        gateway,
        connection: None,
        heard: None,
    };
    // The process ends: nobody tries again.
    let _ = reporter.tell(&holder, &report).await;
}

/// What a holder has heard.
#[derive(Debug)]
struct Heard {
    holder: DaemonLife,
    first_open: UsageWindow,
    /// Requests that it was told, by window: counts only rise, so that the sum shows news.
    requests: BTreeMap<UsageWindow, u64>,
}

struct Reporter {
    gateway: Arc<Gateway>,
    connection: Option<(DaemonLife, FramedStream)>,
    heard: Option<Heard>,
}

impl Reporter {
    /// The time until the next report: at the same part of every second, so that windows that have
    /// just been closed are told soon.
    fn until_next(&self, phase_ms: u64) -> Duration {
        let clock = &self.gateway.clock;
        let now_ms = clock.wall(clock.now()).0;
        let since_last_ms = (now_ms + REPORT_INTERVAL_MS - phase_ms) % REPORT_INTERVAL_MS;
        Duration::from_millis(REPORT_INTERVAL_MS - since_last_ms)
    }

    /// Tells the holder what it hasn't heard.
    async fn report_news(&mut self) {
        let Some(holder) = other_holder(&self.gateway) else {
            self.connection = None;
            return;
        };
        let Some(mut report) = self.gateway.duty_book.own_report() else {
            return;
        };
        let heard = self.heard.take();
        let heard = heard.filter(|heard| heard.holder == holder.daemon);
        let requests: BTreeMap<UsageWindow, u64> = report
            .windows
            .iter()
            .map(|(window, counts)| (*window, counts.total()))
            .collect();
        if let Some(heard) = &heard {
            let is_news = |window: &UsageWindow| heard.requests.get(window) != requests.get(window);
            report.windows.retain(|(window, _)| is_news(window));
            if report.windows.is_empty() && heard.first_open == report.first_open {
                self.heard = Some(Heard {
                    holder: holder.daemon,
                    first_open: report.first_open,
                    requests,
                });
                return;
            }
        }
        // Not logged: the report is repeated until it is heard.
        if self.tell(&holder, &report).await == Ok(true) {
            self.heard = Some(Heard {
                holder: holder.daemon,
                first_open: report.first_open,
                requests,
            });
        }
    }

    /// Sends a report; gives whether the other daemon holds the duties.
    async fn tell(
        &mut self,
        holder: &HolderRecord,
        report: &UsageReport,
    ) -> Result<bool, PeerError> {
        let address = holder.peer_address.ok_or(PeerError::Refused)?;
        let mut frames = match self.connection.take() {
            Some((daemon, frames)) if daemon == holder.daemon => frames,
            _ => open_connection(address).await?,
        };
        let body = Some(Body::UsageReported(report_message(report)));
        let telling = async {
            let sent = frames.send(Frame { body }).await;
            sent.map_err(|_| PeerError::Broken)?;
            let frame = frames.next().await.ok_or(PeerError::Broken)?;
            match frame.map_err(|_| PeerError::Broken)?.body {
                Some(Body::UsageHeard(heard)) => Ok(heard.is_holder),
                _ => Err(PeerError::Unreadable),
            }
        };
        let told = timeout(ANSWER_TIMEOUT, telling).await;
        let is_holder = told.map_err(|_| PeerError::NoAnswer)??;
        self.connection = Some((holder.daemon.clone(), frames));
        Ok(is_holder)
    }
}

/// The holder of the duties, if it is another daemon.
fn other_holder(gateway: &Gateway) -> Option<HolderRecord> {
    match gateway.control.duty_holder().view() {
        HolderView::Held(holder) if holder.daemon != *gateway.duty_book.daemon() => {
            Some(holder.clone())
        }
        _ => None,
    }
}
