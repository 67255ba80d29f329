//! Tries to make this daemon the holder of the duties, and performs them while it is.
//!
//! Every daemon runs this task. [`crate::decisions::duties::tenure`] decides which daemon is a
//! candidate when, and whether a holder may act; this module makes the calls.

use crate::control::duty_holder::HolderView;
use crate::control::holder_record::HolderRecord;
use crate::control::source::{Revision, SourceEra, SourceError};
use crate::decisions::duties::duty_state::DutyState;
use crate::decisions::duties::succession::{StateOrigin, Succession, SuccessionInputs, succeed};
use crate::decisions::duties::tenure::{
    CandidateRank, RESTORE_HEAD_START, Tenure, TenureStart, candidacy_starts_at,
};
use crate::decisions::duties::usage_window::UsageWindow;
use crate::duties::api::{
    DutyKey, DutyPlatform, DutyStore, LeaseId, Put, StoredValue, Transaction, TransactionOutcome,
};
use crate::duties::codec::{decode_state, encode_state};
use crate::duties::holder_session::{
    HolderSession, RETRY_PAUSE, STORE_CALL_TIMEOUT, SessionEnd, SessionStart,
};
use crate::duties::{engines, usage};
use crate::gateway::Gateway;
use crate::settings::DutySettings;
use bridgevane_events::{Event, event};
use bridgevane_types::{DurationMs, FenceToken, TimeMs};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

/// How long a daemon that could not reach the platform does not become a candidate. It is as long
/// as usage may be late, so another daemon can become the holder meanwhile.
const CANDIDACY_COOLDOWN: DurationMs = DurationMs(10_000);
/// How often a holder checks whether its daemon stops. A stop takes seconds.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Tries to become the holder of the duties and performs them, until the daemon ends.
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
        might_act_from: TimeMs(0),
        cooldown_until: None,
        last_session: None,
    };
    loop {
        candidate.wait_for_candidacy().await;
        match candidate.try_become_holder().await {
            Ok(Some(start)) => candidate.perform_duties(start).await,
            Ok(None) => sleep(RETRY_PAUSE).await,
            Err(error) => {
                event!(Event::DutyCallFailed, call = "stand", cause = error);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// A session that lasted until the store came back from a copy.
struct LastSession {
    state: DutyState,
    /// Until when this daemon is a candidate before all others.
    is_first_until: TimeMs,
}

struct DutyCandidate<S, P> {
    gateway: Arc<Gateway>,
    store: S,
    platform: P,
    settings: DutySettings,
    /// From 0 to 1, a hash of the VM's name: spreads the candidacies of daemons that aren't seeds.
    spread: f64,
    /// Whether this daemon was the last known holder.
    was_holder: bool,
    /// From when this daemon might act in its last tenure.
    might_act_from: TimeMs,
    /// Until when this daemon does not become a candidate.
    cooldown_until: Option<TimeMs>,
    /// Its last session, if that lasted until the store came back from a copy and the store has no
    /// newer state.
    last_session: Option<LastSession>,
}

impl<S: DutyStore, P: DutyPlatform> DutyCandidate<S, P> {
    /// Waits until there is no holder and this daemon becomes a candidate.
    async fn wait_for_candidacy(&mut self) {
        let gateway = self.gateway.clone();
        let mut progress = gateway.control.progress();
        loop {
            let now = gateway.clock.now();
            let candidacy = self.candidacy_at(now).map(|at| at.since(now));
            match candidacy {
                Some(DurationMs(0)) => return,
                Some(until_candidacy) => sleep(until_candidacy.as_std()).await,
                // Never fails: the sender lives as long as the gateway.
                None => drop(progress.changed().await),
            }
        }
    }

    /// Returns when this daemon becomes a candidate; none if it can't in the current state.
    fn candidacy_at(&mut self, now: TimeMs) -> Option<TimeMs> {
        let gateway = &self.gateway;
        let is_in_cooldown = self.cooldown_until.is_some_and(|until| now < until);
        if gateway.shutdown.is_stopping() || is_in_cooldown {
            return None;
        }
        let session = self.last_session.as_ref();
        // Its replica may still be that of the era before.
        if session.is_some_and(|session| now < session.is_first_until) {
            return Some(now);
        }
        let holder = gateway.control.duty_holder();
        let vacancy = match holder.view() {
            HolderView::Unknown => return None,
            HolderView::Held(holder) => {
                self.was_holder = holder.daemon == *gateway.usage_tracker.daemon();
                return None;
            }
            HolderView::Vacant(vacancy) => *vacancy,
        };
        let is_fresh = gateway.control.freshness().may_hold_duties();
        if !is_fresh || !gateway.fleet.follows_source() {
            return None;
        }
        Some(candidacy_starts_at(vacancy, self.candidate_rank()))
    }

    fn candidate_rank(&self) -> CandidateRank {
        if self.was_holder {
            return CandidateRank::LastHolder;
        }
        match self.gateway.fleet.seed_position() {
            Some(position) => CandidateRank::Seed(position),
            None => CandidateRank::Other {
                spread: self.spread,
            },
        }
    }

    /// Tries to become the holder; returns none if another daemon did.
    async fn try_become_holder(&mut self) -> Result<Option<SessionStart>, SourceError> {
        let before = call_store(self.store.read(DutyKey::State)).await?;
        let stored = before.as_ref().map(|stored| decode_state(&stored.value));
        let stored = stored.transpose().map_err(|_| SourceError::Unreadable)?;
        let lease_ms = self.settings.lease_ms;
        let lease_requested_at = self.gateway.clock.now();
        let lease = call_store(self.store.grant_lease(lease_ms)).await?;
        let Succession {
            predecessor,
            state,
            origin,
        } = succeed(SuccessionInputs {
            daemon: self.gateway.usage_tracker.daemon().clone(),
            era: lease.era,
            stored,
            own: self.last_session.as_ref().map(|last| last.state.clone()),
            first_open_at_return: self.first_open_at_return(lease.era),
            newest_stored: self.gateway.usage_tracker.newest_stored(),
        });
        if origin != StateOrigin::OwnSession {
            self.last_session = None;
        }
        let transaction = self.holder_transaction(lease, before.as_ref(), &state);
        let Some(revision) = self.write_holder(lease, &transaction).await? else {
            return Ok(None);
        };
        self.was_holder = true;
        self.last_session = None;
        let tenure = Tenure::begin(TenureStart {
            fence: FenceToken(revision.0),
            lease_requested_at,
            known_at: self.gateway.clock.now(),
            lease_ms,
            predecessor,
            might_act_from: self.might_act_from,
        });
        self.might_act_from = tenure.may_act_from();
        let acts_in = tenure.may_act_from().since(self.gateway.clock.now());
        event!(
            Event::DutiesTaken,
            fence = tenure.fence(),
            predecessor = predecessor,
            continues_from = origin,
            acts_in_ms = acts_in,
            state_at = before.map_or(Revision(0), |stored| stored.revision),
            // 0 means that the state has no window.
            newest_window = state.newest_window().unwrap_or_default()
        );
        if origin == StateOrigin::Copy {
            event!(
                Event::UsageLeftOut,
                before_window = state.first_window,
                fence = tenure.fence()
            );
        }
        Ok(Some(SessionStart {
            vm: self.gateway.settings.vm.clone(),
            lease,
            lease_ms,
            tenure,
            state,
            revision,
        }))
    }

    /// Returns the first window that was open everywhere when this daemon learned of the store's era,
    /// which may be now.
    fn first_open_at_return(&self, era: SourceEra) -> UsageWindow {
        let gateway = &self.gateway;
        let restored_at = gateway.control.duty_holder().restored_at(era);
        let at = restored_at.unwrap_or_else(|| gateway.clock.now());
        gateway.usage_tracker.first_open_everywhere_at(at)
    }

    fn holder_transaction(
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
                    value: encode_state(state),
                    lease: None,
                },
            ],
        }
    }

    /// Writes the holder's key; returns its revision, or none if this daemon isn't the holder.
    async fn write_holder(
        &self,
        lease: LeaseId,
        transaction: &Transaction,
    ) -> Result<Option<Revision>, SourceError> {
        match call_store(self.store.write(transaction)).await {
            Ok(TransactionOutcome::Done(revision)) => return Ok(Some(revision)),
            Ok(TransactionOutcome::Conflict | TransactionOutcome::LeaseEnded) => {}
            // The lease is gone, and its number may be another daemon's.
            Ok(TransactionOutcome::StoreRestored) => return Ok(None),
            // The write may have been applied, or may be applied later. Only a key under this lease
            // proves that it was: the key of an earlier attempt is removed with that attempt's
            // lease.
            Err(_) => {
                let found = call_store(self.store.read(DutyKey::Holder)).await?;
                let own = found.filter(|found| found.lease == Some(lease));
                if let Some(own) = own {
                    return Ok(Some(own.revision));
                }
            }
        }
        // Without its lease a late write isn't applied; a lease that isn't ended expires by itself.
        let _ = call_store(self.store.end_lease(lease)).await;
        Ok(None)
    }

    /// Performs the duties until the session ends.
    async fn perform_duties(&mut self, start: SessionStart) {
        let gateway = self.gateway.clone();
        let fence = start.tenure.fence();
        gateway
            .usage_tracker
            .start_collecting(fence, start.state.daemons);
        gateway.metrics.duties_held(true);
        let session = HolderSession::begin(gateway.clock, &self.store, start);
        let end = tokio::select! {
            end = session.keep_lease() => end,
            end = usage::submit_windows(&gateway, &session, &self.platform) => end,
            end = engines::order_engines(&gateway, &session, &self.platform, &self.settings) => end,
            () = wait_for_stop(&gateway) => SessionEnd::Stopping,
            () = wait_for_later_era(&gateway, session.era()) => SessionEnd::StoreRestored,
        };
        gateway.usage_tracker.stop_collecting();
        gateway.metrics.duties_held(false);
        event!(
            Event::DutiesLost,
            fence = session.credentials().fence,
            cause = end
        );
        match end {
            SessionEnd::Lost => {}
            // The lease is gone, and its number may be another daemon's.
            SessionEnd::StoreRestored => {
                let state = session.state_if_still_held().await;
                self.last_session = state.map(|state| LastSession {
                    state,
                    is_first_until: gateway.clock.now() + RESTORE_HEAD_START,
                });
            }
            SessionEnd::Stopping => session.release().await,
            SessionEnd::PlatformUnreachable => {
                session.release().await;
                self.cooldown_until = Some(gateway.clock.now() + CANDIDACY_COOLDOWN);
            }
        }
    }
}

async fn wait_for_stop(gateway: &Gateway) {
    while !gateway.shutdown.is_stopping() {
        sleep(STOP_CHECK_INTERVAL).await;
    }
}

/// Waits until the replica is of a later era of the store, so that the holder learns of it as early
/// as the other candidates.
async fn wait_for_later_era(gateway: &Gateway, era: SourceEra) {
    let mut progress = gateway.control.progress();
    while gateway.control.source_era() <= era {
        // Never fails: the sender lives as long as the gateway.
        drop(progress.changed().await);
    }
}

/// Makes a call to the store, with a timeout.
async fn call_store<T>(
    calling: impl Future<Output = Result<T, SourceError>>,
) -> Result<T, SourceError> {
    let called = timeout(STORE_CALL_TIMEOUT, calling).await;
    called.map_err(|_| SourceError::NoAnswer)?
}
