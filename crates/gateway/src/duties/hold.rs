//! One hold of the duties: its lease, its tenure, and the state that it keeps for a successor.
//!
//! Owns the calls to the store while this daemon holds the duties. Whether it may act is decided in
//! [`crate::decisions::duties::tenure`].

use crate::clock::Clock;
use crate::control::source::Revision;
use crate::decisions::duties::duty_state::DutyState;
use crate::decisions::duties::tenure::Tenure;
use crate::duties::api::{
    Credentials, DutyKey, DutyStore, LeaseId, LeaseRenewal, Put, Transaction, TransactionOutcome,
};
use crate::duties::codec::state_value;
use bridgevane_types::{DurationMs, VmId};
use derive_more::Display;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How long a call of the store for the duties may take. Chosen because the users' slowest store
/// takes 0.24 s, and a lease of 3 s is renewed each second.
pub(super) const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a duty's call of the platform may take; it is reset then. Not measured, chosen because
/// it must fit between two renewals of a lease of 3 s; the users' platform takes 15 ms, and fifty
/// times as long when it is slow.
pub(super) const DUTY_CALL_TIMEOUT: DurationMs = DurationMs(1_000);
/// The pause after a call that failed. Not measured, chosen because it is well within the time of a
/// lease, and doesn't hurry a store that is overloaded.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// How often a holder that may not act looks again. Not measured, chosen as a part of a second: it
/// waits for a renewal.
const ACT_PAUSE: Duration = Duration::from_millis(100);
/// A lease is renewed each time such a part of it is over. Not measured, chosen so that two renewals
/// may be lost.
const RENEWALS_IN_LEASE: u32 = 3;

/// Why a hold ended. The text is the cause in logs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum HoldEnd {
    /// The lease is over, or another daemon has written the duties' state.
    #[display("the lease is over")]
    Lost,
    /// The store answers and the platform doesn't: another daemon may reach it.
    #[display("the platform isn't reached")]
    PlatformAway,
    /// This daemon stops.
    #[display("the daemon stops")]
    Stopping,
}

#[derive(Debug)]
struct StoredState {
    revision: Revision,
    state: DutyState,
}

/// A hold of the duties.
#[derive(Debug)]
pub(super) struct Hold<'a, S> {
    clock: Clock,
    store: &'a S,
    vm: VmId,
    lease: LeaseId,
    lease_ms: DurationMs,
    tenure: Mutex<Tenure>,
    /// Written by one task at a time.
    stored: tokio::sync::Mutex<StoredState>,
}

/// What a hold begins with.
#[derive(Debug)]
pub(super) struct HoldStart {
    pub(super) vm: VmId,
    pub(super) lease: LeaseId,
    pub(super) lease_ms: DurationMs,
    pub(super) tenure: Tenure,
    /// The duties' state as this holder wrote it, and the revision of that.
    pub(super) state: DutyState,
    pub(super) revision: Revision,
}

impl<'a, S: DutyStore> Hold<'a, S> {
    pub(super) fn begin(clock: Clock, store: &'a S, start: HoldStart) -> Self {
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

    /// Under which name calls are made.
    pub(super) fn credentials(&self) -> Credentials {
        Credentials {
            holder: self.vm.clone(),
            fence: self.tenure().fence(),
        }
    }

    /// Whether a duty's call may be sent now.
    pub(super) fn may_act(&self) -> bool {
        self.tenure().may_act(self.clock.now(), DUTY_CALL_TIMEOUT)
    }

    /// Waits until a duty's call may be sent.
    pub(super) async fn wait_until_may_act(&self) {
        let until_first = {
            let acts_from = self.tenure().acts_from();
            acts_from.since(self.clock.now())
        };
        sleep(until_first.as_std()).await;
        while !self.may_act() {
            sleep(ACT_PAUSE).await;
        }
    }

    /// Renews the lease until it is over.
    pub(super) async fn keep_lease(&self) -> HoldEnd {
        let interval = self.lease_ms.as_std() / RENEWALS_IN_LEASE;
        loop {
            sleep(interval).await;
            while !self.renew().await {
                sleep(RETRY_PAUSE).await;
            }
            if self.tenure().is_over() {
                return HoldEnd::Lost;
            }
        }
    }

    /// Renews the lease once; false: it isn't known whether it was renewed.
    async fn renew(&self) -> bool {
        let asked_at = self.clock.now();
        let renewing = timeout(STORE_CALL_TIMEOUT, self.store.renew_lease(self.lease)).await;
        match renewing {
            Ok(Ok(LeaseRenewal::Renewed)) => self.tenure().on_renewed(asked_at),
            Ok(Ok(LeaseRenewal::Gone)) => self.tenure().end(),
            // Not logged: the follower of the store logs that it is away.
            Ok(Err(_)) | Err(_) => return false,
        }
        true
    }

    /// Ends the lease, so that a successor needn't wait for its end.
    pub(super) async fn release(&self) {
        self.tenure().end();
        // A lease that isn't ended runs out by itself.
        let _ = timeout(STORE_CALL_TIMEOUT, self.store.end_lease(self.lease)).await;
    }

    /// The state as it was last written.
    pub(super) async fn state(&self) -> DutyState {
        self.stored.lock().await.state.clone()
    }

    /// Writes a changed state. Tries until it is known whether the write was done: it may be done
    /// seconds after a call without an answer, and no other state may be written meanwhile.
    ///
    /// # Errors
    /// [`HoldEnd::Lost`] when another daemon may hold the duties.
    pub(super) async fn write_state(
        &self,
        change: impl FnOnce(&DutyState) -> DutyState,
    ) -> Result<(), HoldEnd> {
        let mut stored = self.stored.lock().await;
        let next = change(&stored.state);
        let transaction = self.state_transaction(stored.revision, &next);
        let revision = loop {
            let writing = timeout(STORE_CALL_TIMEOUT, self.store.write(&transaction)).await;
            match writing {
                Ok(Ok(TransactionOutcome::Done(revision))) => break revision,
                Ok(Ok(TransactionOutcome::Conflict)) => {
                    break self.find_written(&transaction).await?;
                }
                Ok(Ok(TransactionOutcome::NoLease)) => return Err(HoldEnd::Lost),
                // Not logged: the follower of the store logs that it is away.
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
                value: state_value(next),
                lease: None,
            }],
        }
    }

    /// A write met another revision: an earlier try of the same write may have been done.
    async fn find_written(&self, transaction: &Transaction) -> Result<Revision, HoldEnd> {
        loop {
            let reading = timeout(STORE_CALL_TIMEOUT, self.store.read(DutyKey::State)).await;
            if let Ok(Ok(found)) = reading {
                let is_own = |put: &Put| {
                    let found = found.as_ref();
                    found.is_some_and(|found| found.value == put.value)
                };
                let is_done = transaction.puts.iter().all(is_own);
                let revision = found.as_ref().map(|found| found.revision);
                return revision.filter(|_| is_done).ok_or(HoldEnd::Lost);
            }
            sleep(RETRY_PAUSE).await;
        }
    }
}
