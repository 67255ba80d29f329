//! A counter of resources in use, such as open connections or buffered bytes.
//!
//! Owns only the number. Each guard adds its amount until it is dropped, so that no amount stays
//! counted forever.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// A counter; clones share the count.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counter {
    count: Arc<AtomicU64>,
}

impl Counter {
    pub(crate) fn get(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }

    /// Adds `amount` until the returned guard is dropped.
    pub(crate) fn hold(&self, amount: u64) -> CountGuard {
        self.count.fetch_add(amount, Ordering::Relaxed);
        CountGuard {
            counter: self.clone(),
            amount,
        }
    }
}

/// A guard that keeps its amount in the counter.
#[derive(Debug)]
pub(crate) struct CountGuard {
    counter: Counter,
    amount: u64,
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.counter.count.fetch_sub(self.amount, Ordering::Relaxed);
    }
}
