//! The session of a holder: its lease, its tenure, and the state that it stores for a successor.
//!
//! Owns the calls to the store while this daemon holds the duties.
//! [`crate::decisions::duties::tenure`] decides whether the holder may act.

use crate::clock::Clock;
use crate::control::source::{Revision, SourceEra};
use crate::decisions::duties::duty_state::DutyState;
use crate::decisions::duties::tenure::Tenure;
use crate::duties::api::{
    Credentials, DutyKey, DutyStore, LeaseId, LeaseRenewal, Put, Transaction, TransactionOutcome,
};
use crate::duties::codec::encode_state;
use bridgevane_types::{DurationMs, VmId};
use derive_more::Display;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Timeout for the duties' calls to the store. The users' slowest store takes 0.24 s, and a lease
/// of 3 s is renewed each second.
pub(super) const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout for a duty's call to the platform, after which it is reset. It must fit between two
/// renewals of a lease of 3 s; the users' platform takes 15 ms, and fifty times as long when it is
/// slow.
pub(super) const DUTY_CALL_TIMEOUT: DurationMs = DurationMs(1_000);
/// The delay after a failed call. It is well within the duration of a lease, and doesn't add much
/// load to an overloaded store.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// How often a holder that may not act checks again: it waits for a renewal.
const ACT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The number of renewals per duration of a lease, so that two of them may fail.
const RENEWALS_PER_LEASE: u32 = 3;

/// Why a session ended. The text is the cause in logs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum SessionEnd {
    /// The lease has ended, or another daemon has written the duties' state.
    #[display("the lease is over")]
    Lost,
    /// The store answers but the platform doesn't: another daemon may reach it.
    #[display("the platform isn't reached")]
    PlatformUnreachable,
    /// This daemon stops.
    #[display("the daemon stops")]
    Stopping,
    /// The store came back from a copy, which has no leases.
    #[display("the store came back from a copy")]
    StoreRestored,
}

#[derive(Debug)]
struct StoredState {
    revision: Revision,
    state: DutyState,
}

/// The time in which this daemon holds the duties under one lease.
#[derive(Debug)]
pub(super) struct HolderSession<'a, S> {
    clock: Clock,
    store: &'a S,
    vm: VmId,
    lease: LeaseId,
    lease_ms: DurationMs,
    tenure: Mutex<Tenure>,
    /// Locked for the whole of a write, so that only one task writes at a time.
    stored: tokio::sync::Mutex<StoredState>,
}

/// The initial values of a session.
#[derive(Debug)]
pub(super) struct SessionStart {
    pub(super) vm: VmId,
    pub(super) lease: LeaseId,
    pub(super) lease_ms: DurationMs,
    pub(super) tenure: Tenure,
    /// The duties' state as this holder wrote it; `revision` is that of the write.
    pub(super) state: DutyState,
    pub(super) revision: Revision,
}

impl<'a, S: DutyStore> HolderSession<'a, S> {
    pub(super) fn begin(clock: Clock, store: &'a S, start: SessionStart) -> Self {
        Self {
            clock,
            store,
            vm: start.vm,
            lease: start.lease,
            lease_ms: start.lease_ms,
            tenure: Mutex::new(start.tenure),
            stored: tokio::sync::Mutex::new(StoredState {
                revision: start.revision,
                state: start.state,
            }),
        }
    }

    fn tenure(&self) -> MutexGuard<'_, Tenure> {
        self.tenure.lock().expect("no panic under this lock")
    }

    /// Returns the identity for calls to the platform.
    pub(super) fn credentials(&self) -> Credentials {
        Credentials {
            holder: self.vm.clone(),
            fence: self.tenure().fence(),
        }
    }

    /// Returns whether a duty's call may be sent now.
    pub(super) fn may_act(&self) -> bool {
        self.tenure().may_act(self.clock.now(), DUTY_CALL_TIMEOUT)
    }

    /// Waits until a duty's call may be sent.
    pub(super) async fn wait_until_may_act(&self) {
        let until_first = {
            let may_act_from = self.tenure().may_act_from();
            may_act_from.since(self.clock.now())
        };
        sleep(until_first.as_std()).await;
        while !self.may_act() {
            sleep(ACT_CHECK_INTERVAL).await;
        }
    }

    /// Renews the lease until it has ended.
    pub(super) async fn keep_lease(&self) -> SessionEnd {
        let interval = self.lease_ms.as_std() / RENEWALS_PER_LEASE;
        loop {
            sleep(interval).await;
            match self.renew().await {
                LeaseRenewal::Renewed => {}
                LeaseRenewal::Ended => return SessionEnd::Lost,
                LeaseRenewal::StoreRestored => return SessionEnd::StoreRestored,
            }
        }
    }

    /// Renews the lease, with retries until it is known whether it was renewed.
    async fn renew(&self) -> LeaseRenewal {
        loop {
            let asked_at = self.clock.now();
            let renewing = timeout(STORE_CALL_TIMEOUT, self.store.renew_lease(self.lease)).await;
            // Not logged: the task that follows the store logs that it is unavailable.
            let Ok(Ok(renewal)) = renewing else {
                sleep(RETRY_PAUSE).await;
                continue;
            };
            match renewal {
                LeaseRenewal::Renewed => self.tenure().on_renewed(asked_at),
                LeaseRenewal::Ended | LeaseRenewal::StoreRestored => self.tenure().end(),
            }
            return renewal;
        }
    }

    /// Returns the store's era in which the session began.
    pub(super) fn era(&self) -> SourceEra {
        self.lease.era
    }

    /// Returns the state if no other daemon can have held the duties since the session began. Called
    /// when the store has come back from a copy.
    pub(super) async fn state_if_still_held(&self) -> Option<DutyState> {
        let is_held = self.tenure().lease_lasts(self.clock.now());
        if !is_held {
            return None;
        }
        Some(self.state().await)
    }

    /// Ends the lease, so that a successor doesn't wait for it to expire.
    pub(super) async fn release(&self) {
        self.tenure().end();
        // A lease that isn't ended expires by itself.
        let _ = timeout(STORE_CALL_TIMEOUT, self.store.end_lease(self.lease)).await;
    }

    /// Returns the state as it was last written.
    pub(super) async fn state(&self) -> DutyState {
        self.stored.lock().await.state.clone()
    }

    /// Writes a changed state. Retries until it is known whether the write was applied: after an
    /// unanswered call it may be applied seconds later, and no other state may be written
    /// meanwhile.
    ///
    /// # Errors
    /// [`SessionEnd::Lost`] when another daemon may hold the duties.
    pub(super) async fn write_state(
        &self,
        change: impl FnOnce(&DutyState) -> DutyState,
    ) -> Result<(), SessionEnd> {
        let mut stored = self.stored.lock().await;
        let next = change(&stored.state);
        let transaction = self.state_transaction(stored.revision, &next);
        let revision = loop {
            let writing = timeout(STORE_CALL_TIMEOUT, self.store.write(&transaction)).await;
            match writing {
                Ok(Ok(TransactionOutcome::Done(revision))) => break revision,
                Ok(Ok(TransactionOutcome::Conflict)) => {
                    break self.find_applied_write(&transaction).await?;
                }
                Ok(Ok(TransactionOutcome::LeaseEnded)) => return Err(SessionEnd::Lost),
                Ok(Ok(TransactionOutcome::StoreRestored)) => {
                    return Err(SessionEnd::StoreRestored);
                }
                // Not logged: the task that follows the store logs that it is unavailable.
                Ok(Err(_)) | Err(_) => sleep(RETRY_PAUSE).await,
            }
        };
        stored.revision = revision;
        stored.state = next;
        Ok(())
    }

    fn state_transaction(&self, revision: Revision, next: &DutyState) -> Transaction {
        let fence = Revision(self.tenure().fence().0);
        Transaction {
            expected: vec![(DutyKey::Holder, fence), (DutyKey::State, revision)],
            puts: vec![Put {
                key: DutyKey::State,
                value: encode_state(next),
                lease: None,
            }],
        }
    }

    /// Returns the revision of an earlier attempt of the same write, after a conflict.
    async fn find_applied_write(&self, transaction: &Transaction) -> Result<Revision, SessionEnd> {
        loop {
            let reading = timeout(STORE_CALL_TIMEOUT, self.store.read(DutyKey::State)).await;
            if let Ok(Ok(found)) = reading {
                let is_own = |put: &Put| {
                    let found = found.as_ref();
                    found.is_some_and(|found| found.value == put.value)
                };
                let is_done = transaction.puts.iter().all(is_own);
                let revision = found.as_ref().map(|found| found.revision);
                return revision.filter(|_| is_done).ok_or(SessionEnd::Lost);
            }
            sleep(RETRY_PAUSE).await;
        }
    }
}
