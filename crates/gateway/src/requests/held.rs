//! What a request holds while it lives: a place among those in progress, bytes of its body.

use crate::gateway::Gateway;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Counts a request that was read and not yet answered.
#[derive(Debug)]
pub(crate) struct InProgress(Arc<Gateway>);

impl InProgress {
    pub(crate) fn begin(gateway: &Arc<Gateway>) -> Self {
        gateway.in_progress.fetch_add(1, Ordering::Relaxed);
        Self(gateway.clone())
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Holds a body's bytes in the count of what is buffered.
#[derive(Debug)]
pub(crate) struct Buffered {
    gateway: Arc<Gateway>,
    bytes: u64,
}

impl Buffered {
    pub(crate) fn new(gateway: &Arc<Gateway>, bytes: usize) -> Self {
        let bytes = bytes as u64;
        gateway.buffered_bytes.fetch_add(bytes, Ordering::Relaxed);
        Self {
            gateway: gateway.clone(),
            bytes,
        }
    }
}

impl Drop for Buffered {
    fn drop(&mut self) {
        self.gateway
            .buffered_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
