//! Whether this VM is leaving, and the requests in progress.
//!
//! A VM is leaving from the first of: stop signal, drain by an operator, the platform's list, a
//! newer incarnation. Only a drain can be undone, by an operator's undrain.

use derive_more::Display;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use tokio::sync::Notify;

/// The reason why the VM is leaving.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LeavingSource {
    /// The process received a stop signal.
    #[display("stop signal")]
    StopSignal,
    /// An operator drained the VM.
    #[display("drain")]
    Drain,
    /// The platform's list shows it as leaving.
    #[display("vm list")]
    VmList,
    /// A newer incarnation of this VM's daemon exists.
    #[display("superseded")]
    Superseded,
}

impl LeavingSource {
    fn bit(self) -> u8 {
        1 << self as u8
    }
}

/// The reasons for which this VM is leaving, and the number of requests in progress.
#[derive(Debug, Default)]
pub struct Leaving {
    sources: AtomicU8,
    in_progress: AtomicU64,
    changed: Notify,
}

/// A guard of a request in progress; a planned stop waits until it is dropped.
pub(crate) struct InProgress<'a> {
    leaving: &'a Leaving,
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.leaving.in_progress.fetch_sub(1, Ordering::AcqRel);
        self.leaving.changed.notify_waiters();
    }
}

impl Leaving {
    /// Records a reason to leave.
    pub fn add_reason(&self, source: LeavingSource) {
        self.sources.fetch_or(source.bit(), Ordering::AcqRel);
        self.changed.notify_waiters();
    }

    /// Removes the drain by an operator; other reasons stay.
    pub fn undrain(&self) {
        let bit = LeavingSource::Drain.bit();
        self.sources.fetch_and(!bit, Ordering::AcqRel);
    }

    /// Whether the VM is leaving and accepts no new requests.
    pub fn is_leaving(&self) -> bool {
        self.sources.load(Ordering::Acquire) != 0
    }

    /// Counts a request as in progress until the guard is dropped.
    pub(crate) fn begin_request(&self) -> InProgress<'_> {
        self.in_progress.fetch_add(1, Ordering::AcqRel);
        InProgress { leaving: self }
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> u64 {
        self.in_progress.load(Ordering::Acquire)
    }

    /// Waits until no request is in progress.
    pub async fn wait_until_idle(&self) {
        loop {
            let changed = self.changed.notified();
            if self.in_progress() == 0 {
                return;
            }
            changed.await;
        }
    }
}
