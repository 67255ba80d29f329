//! Telling the platform the usage of each window.
//!
//! When a window is told is decided in [`crate::decisions::duties::usage_window`], with which counts
//! in [`crate::decisions::duties::usage_collection`].

use crate::decisions::duties::duty_state::WindowUsage;
use crate::decisions::duties::usage_ledger::remembered_windows;
use crate::decisions::duties::usage_window::{UsageCalendar, UsageDue, UsageWindow};
use crate::duties::api::{DutyCallError, DutyPlatform, DutyStore};
use crate::duties::hold::{DUTY_CALL_TIMEOUT, Hold, HoldEnd, RETRY_PAUSE};
use crate::gateway::Gateway;
use bridgevane_events::{Event, event};
use bridgevane_types::WallTimeMs;
use tokio::time::{sleep, timeout};

/// Failed calls in a row after which the duties are left to another daemon. Chosen because with
/// their pauses they take some four seconds, less than usage may be late.
const MAX_FAILURES: u32 = 4;

/// Tells each window's usage until the hold ends.
pub(super) async fn tell<S: DutyStore, P: DutyPlatform>(
    gateway: &Gateway,
    hold: &Hold<'_, S>,
    platform: &P,
) -> HoldEnd {
    let Some(calendar) = gateway.duty_book.calendar() else {
        return std::future::pending().await;
    };
    let teller = UsageTeller {
        gateway,
        hold,
        platform,
        calendar,
    };
    match teller.run().await {
        Ok(never) => match never {},
        Err(end) => end,
    }
}

struct UsageTeller<'a, S, P> {
    gateway: &'a Gateway,
    hold: &'a Hold<'a, S>,
    platform: &'a P,
    calendar: UsageCalendar,
}

impl<S: DutyStore, P: DutyPlatform> UsageTeller<'_, S, P> {
    async fn run(&self) -> Result<std::convert::Infallible, HoldEnd> {
        let state = self.hold.state().await;
        // The holder before may not have told these.
        for usage in &state.told {
            self.send(usage).await?;
        }
        let mut window = self.first_window(state.newest_window());
        loop {
            self.wait_until_due(window).await;
            self.tell_window(window).await?;
            window = window.next().max(self.oldest_worth_telling());
        }
    }

    fn now(&self) -> WallTimeMs {
        let clock = &self.gateway.clock;
        clock.wall(clock.now())
    }

    /// What is older is no longer remembered by any daemon.
    fn oldest_worth_telling(&self) -> UsageWindow {
        let current = self.calendar.window_at(self.now());
        current.minus(remembered_windows(self.calendar) - 1)
    }

    /// The first window that no holder has fixed.
    fn first_window(&self, newest_told: Option<UsageWindow>) -> UsageWindow {
        match newest_told {
            Some(newest) => newest.next().max(self.oldest_worth_telling()),
            // Nobody has told anything: what daemons remember is told.
            None => self.oldest_worth_telling(),
        }
    }

    async fn wait_until_due(&self, window: UsageWindow) {
        loop {
            let book = &self.gateway.duty_book;
            let is_complete =
                book.with_collection(|now, collection| collection.is_complete(now, window));
            let now = self.now();
            // Without a collection this daemon no longer holds the duties, and is about to end.
            let due = self
                .calendar
                .due(now, window, is_complete.unwrap_or_default());
            let UsageDue::At(at) = due else {
                return;
            };
            tokio::select! {
                () = sleep(at.since(now).as_std()) => {}
                () = book.reported() => {}
            }
        }
    }

    /// Fixes the usage of a window in the store, then tells it. A window without requests isn't
    /// told: where all daemons were lost, nobody knows of its requests.
    async fn tell_window(&self, window: UsageWindow) -> Result<(), HoldEnd> {
        let book = &self.gateway.duty_book;
        let collected = book.with_collection(|now, collection| {
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
        let fixed = usage.clone();
        self.hold
            .write_state(|state| state.with_window(fixed, daemons))
            .await?;
        self.send(&usage).await?;
        let after_end = self.now().since(self.calendar.end_of(window));
        event!(
            Event::UsageTold,
            window = window,
            requests = usage.counts.total(),
            daemons = daemons,
            complete = is_complete,
            after_end_ms = after_end
        );
        self.gateway.metrics.usage_told(is_complete);
        Ok(())
    }

    /// Tells usage that is fixed, again and again until the platform has taken it.
    async fn send(&self, usage: &WindowUsage) -> Result<(), HoldEnd> {
        for _ in 0..MAX_FAILURES {
            self.hold.wait_until_may_act().await;
            let credentials = self.hold.credentials();
            let telling = self.platform.tell_usage(&credentials, usage);
            let told = timeout(DUTY_CALL_TIMEOUT.as_std(), telling).await;
            let Err(error) = told.unwrap_or(Err(DutyCallError::NoAnswer)) else {
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
        Err(HoldEnd::PlatformAway)
    }
}
