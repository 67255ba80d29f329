//! Submits the usage of each window to the platform while this daemon holds the duties.
//!
//! [`crate::decisions::duties::usage_window`] decides when a window is submitted, and
//! [`crate::decisions::duties::usage_collection`] with which counts.

use crate::decisions::duties::duty_state::WindowUsage;
use crate::decisions::duties::usage_ledger::retained_windows;
use crate::decisions::duties::usage_window::{UsageCalendar, UsageDue, UsageWindow};
use crate::duties::api::{DutyCallError, DutyPlatform, DutyStore};
use crate::duties::holder_session::{DUTY_CALL_TIMEOUT, HolderSession, RETRY_PAUSE, SessionEnd};
use crate::gateway::Gateway;
use bridgevane_events::{Event, event};
use bridgevane_types::WallTimeMs;
use tokio::time::{sleep, timeout};

/// The number of consecutive failed calls after which the duties are left to another daemon. With
/// their delays they take some four seconds, less than usage may be late.
const MAX_FAILURES: u32 = 4;

/// Submits each window's usage until the session ends.
pub(super) async fn submit_windows<S: DutyStore, P: DutyPlatform>(
    gateway: &Gateway,
    session: &HolderSession<'_, S>,
    platform: &P,
) -> SessionEnd {
    let Some(calendar) = gateway.usage_tracker.calendar() else {
        return std::future::pending().await;
    };
    let submitter = UsageSubmitter {
        gateway,
        session,
        platform,
        calendar,
    };
    match submitter.run().await {
        Ok(never) => match never {},
        Err(end) => end,
    }
}

struct UsageSubmitter<'a, S, P> {
    gateway: &'a Gateway,
    session: &'a HolderSession<'a, S>,
    platform: &'a P,
    calendar: UsageCalendar,
}

impl<S: DutyStore, P: DutyPlatform> UsageSubmitter<'_, S, P> {
    async fn run(&self) -> Result<std::convert::Infallible, SessionEnd> {
        let state = self.session.state().await;
        if let Some(newest) = state.newest_window() {
            self.gateway.usage_tracker.on_window_stored(newest);
        }
        // The previous holder may not have submitted these.
        for usage in &state.submitted_windows {
            self.submit(usage).await?;
            event!(
                Event::UsageRepeated,
                window = usage.window,
                requests = usage.counts.total(),
                fence = self.session.credentials().fence
            );
        }
        let mut window = state.next_window().max(self.oldest_remembered_window());
        loop {
            self.wait_until_due(window).await;
            if window > self.gateway.usage_tracker.newest_stored() {
                self.submit_window(window).await?;
            } else {
                // Stored under an earlier era, as another daemon has reported since.
                event!(
                    Event::UsageLeftOut,
                    before_window = window.next(),
                    fence = self.session.credentials().fence
                );
            }
            window = window.next().max(self.oldest_remembered_window());
        }
    }

    fn now(&self) -> WallTimeMs {
        let clock = &self.gateway.clock;
        clock.wall_time_at(clock.now())
    }

    /// Returns the oldest window that daemons still remember.
    fn oldest_remembered_window(&self) -> UsageWindow {
        let current = self.calendar.window_at(self.now());
        current.minus(retained_windows(self.calendar) - 1)
    }

    async fn wait_until_due(&self, window: UsageWindow) {
        loop {
            let tracker = &self.gateway.usage_tracker;
            let is_complete =
                tracker.with_collection(|now, collection| collection.is_complete(now, window));
            let now = self.now();
            // Without a collection this daemon is no longer the holder, and the session is about to
            // end.
            let due = self
                .calendar
                .due(now, window, is_complete.unwrap_or_default());
            let UsageDue::At(at) = due else {
                return;
            };
            tokio::select! {
                () = sleep(at.since(now).as_std()) => {}
                () = tracker.wait_for_report() => {}
            }
        }
    }

    /// Stores the usage of a window, then submits it. A window without requests isn't submitted: if
    /// all daemons were lost, its requests are unknown.
    async fn submit_window(&self, window: UsageWindow) -> Result<(), SessionEnd> {
        let tracker = &self.gateway.usage_tracker;
        let collected = tracker.with_collection(|now, collection| {
            let is_complete = collection.is_complete(now, window);
            let counts = collection.total(window);
            let daemons = collection.daemons_closed(window);
            collection.forget_before(now, window.next());
            (counts, daemons, is_complete)
        });
        let Some((counts, daemons, is_complete)) = collected else {
            return Ok(());
        };
        if counts.is_empty() {
            return Ok(());
        }
        let usage = WindowUsage { window, counts };
        let stored = usage.clone();
        self.session
            .write_state(|state| state.with_window(stored, daemons))
            .await?;
        tracker.on_window_stored(window);
        self.submit(&usage).await?;
        let after_end = self.now().since(self.calendar.end_of(window));
        event!(
            Event::UsageTold,
            window = window,
            requests = usage.counts.total(),
            fence = self.session.credentials().fence,
            daemons = daemons,
            complete = is_complete,
            after_end_ms = after_end
        );
        self.gateway.metrics.usage_submitted(is_complete);
        Ok(())
    }

    /// Submits stored usage, with retries until the platform has accepted it.
    async fn submit(&self, usage: &WindowUsage) -> Result<(), SessionEnd> {
        for _ in 0..MAX_FAILURES {
            self.session.wait_until_may_act().await;
            let credentials = self.session.credentials();
            let submitting = self.platform.submit_usage(&credentials, usage);
            let submitted = timeout(DUTY_CALL_TIMEOUT.as_std(), submitting).await;
            let Err(error) = submitted.unwrap_or(Err(DutyCallError::NoAnswer)) else {
                return Ok(());
            };
            event!(
                Event::DutyCallFailed,
                call = "tell usage",
                window = usage.window,
                cause = error
            );
            if error == DutyCallError::Rejected {
                return Ok(());
            }
            sleep(RETRY_PAUSE).await;
        }
        Err(SessionEnd::PlatformUnreachable)
    }
}
