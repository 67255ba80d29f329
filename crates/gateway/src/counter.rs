//! A count of things that are held, such as open connections or bytes of bodies.
//!
//! Owns nothing but the number; whoever holds a guard keeps its amount in, so that nothing is
//! counted for ever.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The count; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counter {
    count: Arc<AtomicU64>,
}

impl Counter {
    pub(crate) fn get(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }

    /// Adds `amount` until the guard is dropped.
    pub(crate) fn hold(&self, amount: u64) -> CountGuard {
        self.count.fetch_add(amount, Ordering::Relaxed);
        CountGuard {
            counter: self.clone(),
            amount,
        }
    }
}

/// Keeps an amount in its counter.
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
