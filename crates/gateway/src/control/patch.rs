//! Patches: a new value as its difference from the previous value.
//!
//! An operator's change affects a small part of a large document, so only the bytes between the
//! common prefix and the common suffix are sent. The receiver must have the value that the patch
//! was made for, which a digest shows: after the source came back from a copy, daemons may have
//! different values at one revision.

use bytes::{BufMut, Bytes, BytesMut};
use derive_more::{Display, Error};
use xxhash_rust::xxh3::xxh3_64;

/// A patch is used when the whole value is longer than the patch by this factor. Below it a patch
/// saves little: a follower that lacks the old value has to request the full state.
const MIN_SAVING_FACTOR: usize = 2;

/// The difference between two values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Patch {
    /// The number of bytes kept from the start of the previous value.
    pub kept_head: usize,
    /// The number of bytes kept from the end of the previous value.
    pub kept_tail: usize,
    /// The new bytes between them.
    pub inserted: Bytes,
    /// The digest of the previous value; 0: unknown, the patch comes from a daemon of an earlier version.
    pub base_digest: u32,
}

/// The error for a patch that was made for another value.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the patch doesn't fit the value before")]
pub struct PatchDoesNotFit;

impl Patch {
    /// Returns the patch from `old` to `new`; none if it isn't much shorter than `new`.
    pub fn between(old: &Bytes, new: &Bytes) -> Option<Self> {
        let same = |pairs: (&u8, &u8)| pairs.0 == pairs.1;
        let kept_head = old.iter().zip(new.iter()).take_while(|p| same(*p)).count();
        let old_rest = &old[kept_head..];
        let new_rest = &new[kept_head..];
        let from_end = old_rest.iter().rev().zip(new_rest.iter().rev());
        let kept_tail = from_end.take_while(|p| same(*p)).count();
        let inserted = new.slice(kept_head..new.len() - kept_tail);
        (inserted.len() * MIN_SAVING_FACTOR < new.len()).then_some(Self {
            kept_head,
            kept_tail,
            // A copy: a slice would keep all of `new` in memory.
            inserted: Bytes::copy_from_slice(&inserted),
            base_digest: digest(old),
        })
    }

    /// Returns the new value.
    ///
    /// # Errors
    /// [`PatchDoesNotFit`] when `old` isn't the value that the patch was made for.
    pub fn apply(&self, old: &Bytes) -> Result<Bytes, PatchDoesNotFit> {
        let kept = self.kept_head.checked_add(self.kept_tail);
        let is_other = self.base_digest != 0 && self.base_digest != digest(old);
        if is_other || kept.is_none_or(|kept| kept > old.len()) {
            return Err(PatchDoesNotFit);
        }
        let tail = &old[old.len() - self.kept_tail..];
        let length = self.kept_head + self.inserted.len() + tail.len();
        let mut new = BytesMut::with_capacity(length);
        new.put_slice(&old[..self.kept_head]);
        new.put_slice(&self.inserted);
        new.put_slice(tail);
        Ok(new.freeze())
    }
}

/// Returns the digest of a value; never 0.
fn digest(value: &Bytes) -> u32 {
    (xxh3_64(value) as u32).max(1)
}
