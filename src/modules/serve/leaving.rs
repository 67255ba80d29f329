//! Whether this VM leaves: the soonest of its stop signal, an operator's drain and the
//! platform's list decides, and no later sign takes it back but an operator's undrain.

use derive_more::Display;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use tokio::sync::Notify;

/// Who said that the VM leaves.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LeavingSource {
    /// The process got a signal to stop.
    #[display("stop signal")]
    StopSignal,
    /// An operator drained the VM.
    #[display("drain")]
    Drain,
    /// The platform's list shows it as leaving.
    #[display("vm list")]
    VmList,
    /// A later life of this VM is about.
    #[display("superseded")]
    Superseded,
}

impl LeavingSource {
    fn bit(self) -> u8 {
        1 << self as u8
    }
}

/// The state of leaving, and the requests that are still in progress.
#[derive(Debug, Default)]
pub struct Leaving {
    sources: AtomicU8,
    in_progress: AtomicU64,
    changed: Notify,
}

/// A request in progress; a planned stop waits until it is dropped.
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
    /// Notes that the VM leaves.
    pub fn begin(&self, source: LeavingSource) {
        self.sources.fetch_or(source.bit(), Ordering::AcqRel);
        self.changed.notify_waiters();
    }

    /// An operator takes the drain back; other signs stay.
    pub fn undrain(&self) {
        let bit = LeavingSource::Drain.bit();
        self.sources.fetch_and(!bit, Ordering::AcqRel);
    }

    /// Whether the VM takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.sources.load(Ordering::Acquire) != 0
    }

    /// Counts a request in progress.
    pub(crate) fn begin_request(&self) -> InProgress<'_> {
        self.in_progress.fetch_add(1, Ordering::AcqRel);
        InProgress { leaving: self }
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> u64 {
        self.in_progress.load(Ordering::Acquire)
    }

    /// Waits until no request is in progress.
    pub async fn idle(&self) {
        loop {
            let changed = self.changed.notified();
            if self.in_progress() == 0 {
                return;
            }
            changed.await;
        }
    }
}
