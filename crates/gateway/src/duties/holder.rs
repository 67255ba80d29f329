//! Standing for the duties, and holding them.
//!
//! One task of each daemon. Who may stand and who may act is decided in
//! [`crate::decisions::duties::tenure`]; here the calls are made.

use crate::control::duty_holder::HolderView;
use crate::control::holder_record::HolderRecord;
use crate::control::source::{Revision, SourceError};
use crate::decisions::duties::duty_state::DutyState;
use crate::decisions::duties::tenure::{Accession, Predecessor, StandingPlace, Tenure, stands_at};
use crate::duties::api::{
    DutyKey, DutyPlatform, DutyStore, LeaseId, Put, StoredValue, Transaction, TransactionOutcome,
};
use crate::duties::codec::{state_of_value, state_value};
use crate::duties::hold::{Hold, HoldEnd, HoldStart, RETRY_PAUSE, STORE_CALL_TIMEOUT};
use crate::duties::{engines, usage};
use crate::gateway::Gateway;
use crate::settings::DutySettings;
use bridgevane_events::{Event, event};
use bridgevane_types::{DurationMs, FenceToken, TimeMs};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

/// How long a daemon that couldn't reach the platform leaves the duties to others. Not measured,
/// chosen as long as usage may be late: another holder has had its chance by then.
const HOLD_OFF: DurationMs = DurationMs(10_000);
/// How often a holder looks whether its daemon stops. Not measured, chosen because a stop takes
/// seconds.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Stands for the duties and holds them, until the daemon ends.
pub async fn run<S: DutyStore, P: DutyPlatform>(gateway: Arc<Gateway>, store: S, platform: P) {
    let Some(settings) = gateway.settings.duties.clone() else {
        return;
    };
    let spread = xxh3_64(gateway.settings.vm.as_str().as_bytes()) as f64 / u64::MAX as f64;
    let mut candidate = DutyCandidate {
        gateway,
        store,
        platform,
        settings,
        spread,
        was_holder: false,
        held_off_until: None,
    };
    loop {
        candidate.wait_until_standing().await;
        match candidate.stand().await {
            Ok(Some(start)) => candidate.hold(start).await,
            Ok(None) => sleep(RETRY_PAUSE).await,
            Err(error) => {
                event!(Event::DutyCallFailed, call = "stand", cause = error);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

struct DutyCandidate<S, P> {
    gateway: Arc<Gateway>,
    store: S,
    platform: P,
    settings: DutySettings,
    /// From 0 to 1, by the VM's name: where this daemon stands among those that are no seeds.
    spread: f64,
    /// Whether this daemon was the last holder that it knows of.
    was_holder: bool,
    /// Until when it leaves the duties to others.
    held_off_until: Option<TimeMs>,
}

impl<S: DutyStore, P: DutyPlatform> DutyCandidate<S, P> {
    /// Waits until the key is vacant and it is this daemon's turn.
    async fn wait_until_standing(&mut self) {
        let gateway = self.gateway.clone();
        let mut progress = gateway.control.progress();
        loop {
            let now = gateway.clock.now();
            let turn = self.turn(now).map(|turn| turn.since(now));
            match turn {
                Some(DurationMs(0)) => return,
                Some(until_turn) => sleep(until_turn.as_std()).await,
                // The sender lives as long as the gateway.
                None => drop(progress.changed().await),
            }
        }
    }

    /// When this daemon stands, as things are; none: it doesn't.
    fn turn(&mut self, now: TimeMs) -> Option<TimeMs> {
        let gateway = &self.gateway;
        let holder = gateway.control.duty_holder();
        let vacant_since = match holder.view() {
            HolderView::Unknown => return None,
            HolderView::Held(holder) => {
                self.was_holder = holder.daemon == *gateway.duty_book.daemon();
                return None;
            }
            HolderView::Vacant { since } => *since,
        };
        let is_held_off = self.held_off_until.is_some_and(|until| now < until);
        let is_fresh = gateway.control.freshness().may_serve();
        let follows_source = gateway.fleet.follows_source();
        if gateway.shutdown.is_stopping() || is_held_off || !is_fresh || !follows_source {
            return None;
        }
        Some(stands_at(vacant_since, self.place()))
    }

    fn place(&self) -> StandingPlace {
        if self.was_holder {
            return StandingPlace::LastHolder;
        }
        match self.gateway.fleet.seed_position() {
            Some(position) => StandingPlace::Seed(position),
            None => StandingPlace::Other {
                spread: self.spread,
            },
        }
    }

    /// Tries to become the holder; none: another daemon did.
    async fn stand(&mut self) -> Result<Option<HoldStart>, SourceError> {
        let before = call(self.store.read(DutyKey::State)).await?;
        let daemon = self.gateway.duty_book.daemon().clone();
        let previous = before.as_ref().map(|stored| state_of_value(&stored.value));
        let previous = previous.transpose().map_err(|_| SourceError::Unreadable)?;
        let predecessor = match &previous {
            None => Predecessor::Nobody,
            Some(state) if state.holder == daemon => Predecessor::Itself,
            Some(_) => Predecessor::Another,
        };
        let state = match previous {
            None => DutyState::first(daemon),
            Some(state) => state.taken_over(daemon),
        };
        let lease_ms = self.settings.lease_ms;
        let lease_asked_at = self.gateway.clock.now();
        let lease = call(self.store.grant_lease(lease_ms)).await?;
        let transaction = self.transaction(lease, before.as_ref(), &state);
        let Some(revision) = self.write_holder(lease, &transaction).await? else {
            return Ok(None);
        };
        let tenure = Tenure::begin(Accession {
            fence: FenceToken(revision.0),
            lease_asked_at,
            known_at: self.gateway.clock.now(),
            lease_ms,
            predecessor,
        });
        let acts_in = tenure.acts_from().since(self.gateway.clock.now());
        event!(
            Event::DutiesTaken,
            fence = revision,
            predecessor = predecessor,
            acts_in_ms = acts_in
        );
        Ok(Some(HoldStart {
            vm: self.gateway.settings.vm.clone(),
            lease,
            lease_ms,
            tenure,
            state,
            revision,
        }))
    }

    fn transaction(
        &self,
        lease: LeaseId,
        before: Option<&StoredValue>,
        state: &DutyState,
    ) -> Transaction {
        let state_at = before.map_or(Revision(0), |stored| stored.revision);
        let holder = HolderRecord {
            daemon: state.holder.clone(),
            peer_address: self.gateway.settings.peer_address,
        };
        Transaction {
            expected: vec![(DutyKey::Holder, Revision(0)), (DutyKey::State, state_at)],
            puts: vec![
                Put {
                    key: DutyKey::Holder,
                    value: holder.encode(),
                    lease: Some(lease),
                },
                Put {
                    key: DutyKey::State,
                    value: state_value(state),
                    lease: None,
                },
            ],
        }
    }

    /// Writes the holder's key; gives the revision, or none when this daemon isn't the holder.
    async fn write_holder(
        &self,
        lease: LeaseId,
        transaction: &Transaction,
    ) -> Result<Option<Revision>, SourceError> {
        match call(self.store.write(transaction)).await {
            Ok(TransactionOutcome::Done(revision)) => return Ok(Some(revision)),
            Ok(TransactionOutcome::Conflict | TransactionOutcome::NoLease) => {}
            // It may have been done, or may be done later. Only a key under this very lease says
            // that it was: one of an earlier try goes with that try's lease.
            Err(_) => {
                let found = call(self.store.read(DutyKey::Holder)).await?;
                let own = found.filter(|found| found.lease == Some(lease));
                if let Some(own) = own {
                    return Ok(Some(own.revision));
                }
            }
        }
        // Without its lease a late write isn't done; one that isn't ended runs out by itself.
        let _ = call(self.store.end_lease(lease)).await;
        Ok(None)
    }

    /// Does the duties until the hold ends.
    async fn hold(&mut self, start: HoldStart) {
        let gateway = self.gateway.clone();
        gateway.duty_book.start_collecting(start.state.daemons);
        gateway.metrics.duties_held(true);
        let hold = Hold::begin(gateway.clock, &self.store, start);
        let end = tokio::select! {
            end = hold.keep_lease() => end,
            end = usage::tell(&gateway, &hold, &self.platform) => end,
            end = engines::order(&gateway, &hold, &self.platform, &self.settings) => end,
            () = wait_for_stop(&gateway) => HoldEnd::Stopping,
        };
        gateway.duty_book.stop_collecting();
        gateway.metrics.duties_held(false);
        event!(
            Event::DutiesLost,
            fence = hold.credentials().fence,
            cause = end
        );
        match end {
            HoldEnd::Lost => {}
            HoldEnd::Stopping => hold.release().await,
            HoldEnd::PlatformAway => {
                hold.release().await;
                self.held_off_until = Some(gateway.clock.now() + HOLD_OFF);
            }
        }
    }
}

async fn wait_for_stop(gateway: &Gateway) {
    while !gateway.shutdown.is_stopping() {
        sleep(STOP_CHECK_INTERVAL).await;
    }
}

/// A call of the store within its time.
async fn call<T>(calling: impl Future<Output = Result<T, SourceError>>) -> Result<T, SourceError> {
    let called = timeout(STORE_CALL_TIMEOUT, calling).await;
    called.map_err(|_| SourceError::NoAnswer)?
}
