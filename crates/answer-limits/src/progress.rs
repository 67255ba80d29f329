//! Counts the bytes that were read since the answer last made progress.

use crate::MAX_BYTES_WITHOUT_PROGRESS;
use derive_more::{Display, Error};
use std::error::Error as StdError;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The error of a connection from which more was read than an answer can hold between two parts.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("more than {MAX_BYTES_WITHOUT_PROGRESS} bytes without progress of the answer")]
pub struct AnswerWithoutEnd;

impl From<AnswerWithoutEnd> for io::Error {
    fn from(error: AnswerWithoutEnd) -> Self {
        Self::new(io::ErrorKind::InvalidData, error)
    }
}

/// Returns whether an error of the HTTP library was caused by [`AnswerWithoutEnd`].
pub fn is_without_end(error: &(dyn StdError + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        let inner = error
            .downcast_ref::<io::Error>()
            .and_then(io::Error::get_ref);
        if inner.is_some_and(|inner| inner.is::<AnswerWithoutEnd>()) {
            return true;
        }
        cause = error.source();
    }
    false
}

/// The progress of the answers on one connection. Clones share one count: the connection adds to it,
/// and the reader of its answers resets it.
#[derive(Clone, Debug, Default)]
pub struct AnswerProgress {
    unanswered_bytes: Arc<AtomicUsize>,
}

impl AnswerProgress {
    /// Records that a request is sent, or that a part of its answer has arrived.
    pub fn reset(&self) {
        self.unanswered_bytes.store(0, Ordering::Relaxed);
    }

    /// Counts bytes that were read.
    ///
    /// # Errors
    /// [`AnswerWithoutEnd`] if they are too many.
    pub(crate) fn on_read(&self, bytes: usize) -> Result<(), AnswerWithoutEnd> {
        let before = self.unanswered_bytes.fetch_add(bytes, Ordering::Relaxed);
        if before + bytes > MAX_BYTES_WITHOUT_PROGRESS {
            return Err(AnswerWithoutEnd);
        }
        Ok(())
    }
}
