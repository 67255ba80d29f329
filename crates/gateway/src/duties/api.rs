//! The platform's interfaces for the duties: leases and conditional writes of its store, and the
//! calls that are the duties. An adapter implements both.
//!
//! Calls have no timeout and are made once: the caller drops them, and decides on retries. A
//! dropped call must not reach the platform later: its connection is reset.

use crate::control::source::{Revision, SourceEra, SourceError};
use crate::decisions::duties::duty_state::WindowUsage;
use crate::decisions::duties::engine_orders::{EngineOrder, OrderOutcome};
use bridgevane_types::{DurationMs, FenceToken, ServiceName, VmId};
use bytes::Bytes;
use derive_more::{Display, Error};
use std::future::Future;

/// A key of the store that belongs to the duties.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyKey {
    /// The holder's record; removed with the holder's lease.
    Holder,
    /// The state that a holder leaves for its successor; permanent.
    State,
}

/// A lease of the store. After a return from a copy the store gives out numbers again.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{era}.{number}")]
pub struct LeaseId {
    /// The store's era when it granted the lease.
    pub era: SourceEra,
    /// The store's number for the lease.
    pub number: u64,
}

/// The result of renewing a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseRenewal {
    /// The lease was renewed for its full duration.
    Renewed,
    /// The lease has ended.
    Ended,
    /// The store has come back from a copy, which has no leases.
    StoreRestored,
}

/// The value of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredValue {
    /// The revision that wrote the value.
    pub revision: Revision,
    /// The value.
    pub value: Bytes,
    /// The lease with which the key is removed; none if it is permanent.
    pub lease: Option<LeaseId>,
}

/// A write of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: DutyKey,
    /// The new value.
    pub value: Bytes,
    /// The lease with which the key is removed; none if it is permanent.
    pub lease: Option<LeaseId>,
}

/// Writes that are applied together or not at all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transaction {
    /// The revisions that keys must have; 0: the key must not exist.
    pub expected: Vec<(DutyKey, Revision)>,
    /// The writes.
    pub puts: Vec<Put>,
}

impl Transaction {
    /// Returns the era of the expected revisions and leases; `None` if there are none.
    pub fn era(&self) -> Option<SourceEra> {
        let expected = self.expected.iter().map(|(_, revision)| *revision);
        let existing = expected.filter(|revision| *revision != Revision(0));
        let leases = self.puts.iter().filter_map(|put| put.lease);
        let eras = existing.map(Revision::era);
        eras.chain(leases.map(|lease| lease.era)).max()
    }
}

/// The result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// The writes were applied at this revision.
    Done(Revision),
    /// A key had another revision than expected; nothing was written.
    Conflict,
    /// The lease has ended; nothing was written.
    LeaseEnded,
    /// The store has come back from a copy since the conditions were read. Revisions are given out
    /// again, so that the writes may have been applied nevertheless.
    StoreRestored,
}

/// The store, as far as the duties use it.
pub trait DutyStore: Send + Sync + 'static {
    /// Takes out a lease. Its duration starts when the call arrives.
    ///
    /// # Errors
    /// [`SourceError`] when there is no usable answer; the lease may exist nevertheless.
    fn grant_lease(
        &self,
        lease_ms: DurationMs,
    ) -> impl Future<Output = Result<LeaseId, SourceError>> + Send;

    /// Renews a lease.
    ///
    /// # Errors
    /// [`SourceError`] when it isn't known whether the lease was renewed.
    fn renew_lease(
        &self,
        lease: LeaseId,
    ) -> impl Future<Output = Result<LeaseRenewal, SourceError>> + Send;

    /// Ends a lease, and removes the keys under it.
    ///
    /// # Errors
    /// [`SourceError`] when it isn't known whether the lease was ended.
    fn end_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), SourceError>> + Send;

    /// Reads a key; returns none if it doesn't exist.
    ///
    /// # Errors
    /// [`SourceError`] when nothing was read.
    fn read(
        &self,
        key: DutyKey,
    ) -> impl Future<Output = Result<Option<StoredValue>, SourceError>> + Send;

    /// Applies a transaction.
    ///
    /// # Errors
    /// [`SourceError`] when it isn't known whether the writes were applied, or will be applied
    /// later.
    fn write(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<TransactionOutcome, SourceError>> + Send;
}

/// The identity under which a duty's call is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Credentials {
    /// The daemon that holds the duties.
    pub holder: VmId,
    /// The holder's fencing token.
    pub fence: FenceToken,
}

/// Why a duty's call failed. The text is the cause in logs.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum DutyCallError {
    /// The connection failed.
    #[display("not reached")]
    NotReached,
    /// There was no answer in time, or the connection broke; the call may have been accepted.
    #[display("no answer")]
    NoAnswer,
    /// The platform accepts no calls for now.
    #[display("refused")]
    Refused,
    /// The platform rejects this call for good.
    #[display("rejected")]
    Rejected,
}

/// The platform's calls that are the duties.
pub trait DutyPlatform: Send + Sync + 'static {
    /// Submits the usage of a window. Submitting the same usage again has no effect.
    ///
    /// # Errors
    /// [`DutyCallError`] when the usage isn't known to be accepted.
    fn submit_usage(
        &self,
        credentials: &Credentials,
        usage: &WindowUsage,
    ) -> impl Future<Output = Result<(), DutyCallError>> + Send;

    /// Orders engines.
    ///
    /// # Errors
    /// [`DutyCallError`] when the order isn't known to be accepted.
    fn order_engines(
        &self,
        credentials: &Credentials,
        service: &ServiceName,
        order: &EngineOrder,
    ) -> impl Future<Output = Result<OrderOutcome, DutyCallError>> + Send;
}
