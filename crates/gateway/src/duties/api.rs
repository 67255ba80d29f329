//! What the duties need of the platform: its store's leases and conditional writes, and the calls
//! that are the duties. An adapter implements both.
//!
//! Calls have no time limit and are made once: the caller drops them, and decides on retries. A
//! dropped call must not reach the platform later: its connection is reset.

use crate::control::source::{Revision, SourceError};
use crate::decisions::duties::duty_state::WindowUsage;
use crate::decisions::duties::engine_orders::{EngineOrder, OrderOutcome};
use bridgevane_types::{DurationMs, FenceToken, ServiceName, VmId};
use bytes::Bytes;
use derive_more::{Display, Error};
use std::future::Future;

/// A key of the store that belongs to the duties.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyKey {
    /// Who holds the duties; goes with the holder's lease.
    Holder,
    /// What a holder leaves for its successor; stays.
    State,
}

/// A lease of the store.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct LeaseId(pub u64);

/// What became of a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseRenewal {
    /// The lease lasts its whole time from now on.
    Renewed,
    /// It is over.
    Gone,
}

/// The value of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredValue {
    /// The revision that wrote it.
    pub revision: Revision,
    /// The value.
    pub value: Bytes,
    /// The lease with which it goes; none: it stays.
    pub lease: Option<LeaseId>,
}

/// A value to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: DutyKey,
    /// Its new value.
    pub value: Bytes,
    /// The lease with which it goes; none: it stays.
    pub lease: Option<LeaseId>,
}

/// Writes that are done together, or not at all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transaction {
    /// The revisions that keys must have; 0: the key must not be there.
    pub expected: Vec<(DutyKey, Revision)>,
    /// The writes.
    pub puts: Vec<Put>,
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// It was done, at this revision.
    Done(Revision),
    /// A key had another revision than expected; nothing was done.
    Conflict,
    /// The lease is over; nothing was done.
    NoLease,
}

/// The store, as the duties need it.
pub trait DutyStore: Send + Sync + 'static {
    /// Takes out a lease. It runs from the arrival of the call.
    ///
    /// # Errors
    /// [`SourceError`] when there is no answer that can be used; a lease may run all the same.
    fn grant_lease(
        &self,
        lease_ms: DurationMs,
    ) -> impl Future<Output = Result<LeaseId, SourceError>> + Send;

    /// Renews a lease.
    ///
    /// # Errors
    /// [`SourceError`] when it isn't known whether it was renewed.
    fn renew_lease(
        &self,
        lease: LeaseId,
    ) -> impl Future<Output = Result<LeaseRenewal, SourceError>> + Send;

    /// Ends a lease and the keys under it.
    ///
    /// # Errors
    /// [`SourceError`] when it isn't known whether it was ended.
    fn end_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), SourceError>> + Send;

    /// Reads a key; none: it isn't there.
    ///
    /// # Errors
    /// [`SourceError`] when nothing was read.
    fn read(
        &self,
        key: DutyKey,
    ) -> impl Future<Output = Result<Option<StoredValue>, SourceError>> + Send;

    /// Writes under conditions.
    ///
    /// # Errors
    /// [`SourceError`] when it isn't known whether the writes were done, or will be done later.
    fn write(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<TransactionOutcome, SourceError>> + Send;
}

/// Under whose name a duty's call is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Credentials {
    /// The daemon that holds the duties.
    pub holder: VmId,
    /// Its fence.
    pub fence: FenceToken,
}

/// Why a duty's call failed. The text is the cause in logs.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum DutyCallError {
    /// No connection.
    #[display("not reached")]
    NotReached,
    /// No answer in time, or the connection broke; the call may have been taken.
    #[display("no answer")]
    NoAnswer,
    /// The platform takes no calls now.
    #[display("refused")]
    Refused,
    /// The platform will not take this call.
    #[display("rejected")]
    Rejected,
}

/// The calls that are the duties.
pub trait DutyPlatform: Send + Sync + 'static {
    /// Tells the usage of a window. Telling the same again does nothing.
    ///
    /// # Errors
    /// [`DutyCallError`] when it isn't known to be taken.
    fn tell_usage(
        &self,
        credentials: &Credentials,
        usage: &WindowUsage,
    ) -> impl Future<Output = Result<(), DutyCallError>> + Send;

    /// Orders engines.
    ///
    /// # Errors
    /// [`DutyCallError`] when the order isn't known to be taken.
    fn order_engines(
        &self,
        credentials: &Credentials,
        service: &ServiceName,
        order: &EngineOrder,
    ) -> impl Future<Output = Result<OrderOutcome, DutyCallError>> + Send;
}
