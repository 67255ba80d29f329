//! The whole state as messages, packed once for all daemons that ask for it at one revision.
//!
//! When a fleet starts, each daemon with followers sends up to sixteen of them everything at once. Packing the
//! records of 10,000 endpoints takes 9 ms of a core, 70 ms on the smallest VM (`fleet_state`, benches).
//! Forgotten with the revision, so that it takes memory only while states are asked for.

use crate::control::replica::{Replica, Update};
use crate::control::source::Revision;
use crate::replication::message::{put_update, update_parts};
use bridgevane_protocol::RecordsAnswer;
use std::sync::{Mutex, MutexGuard};

/// The state that was packed last, behind a lock that no request takes.
#[derive(Debug, Default)]
pub(crate) struct PackedState {
    packed: Mutex<Packed>,
}

impl PackedState {
    pub(crate) fn lock(&self) -> MutexGuard<'_, Packed> {
        self.packed.lock().expect("no panic under this lock")
    }
}

/// The messages, and the revision that they are of; none: nothing is packed.
#[derive(Debug, Default)]
pub(crate) struct Packed {
    at: Revision,
    parts: Vec<RecordsAnswer>,
}

impl Packed {
    /// What a daemon lacks that has every change up to `after`; none: it is packed here. A daemon that takes no
    /// parts never finds it packed.
    pub(crate) fn update(
        &mut self,
        replica: &Replica,
        after: Revision,
        takes_parts: bool,
    ) -> Option<Update> {
        if self.at != replica.revision() {
            *self = Self::default();
        }
        let is_packed = takes_parts && after == Revision(0) && !self.parts.is_empty();
        (!is_packed).then(|| replica.update_since(after))
    }

    /// The messages of an update at a revision, or of the state that is packed. A daemon that takes no parts
    /// gets one message.
    pub(crate) fn parts(
        &mut self,
        at: Revision,
        update: Option<Update>,
        takes_parts: bool,
    ) -> Vec<RecordsAnswer> {
        let Some(update) = update else {
            return self.parts.clone();
        };
        if !takes_parts {
            let mut answer = RecordsAnswer::default();
            put_update(&mut answer, update);
            return vec![answer];
        }
        let is_whole = matches!(update, Update::Full(_));
        let parts = update_parts(update);
        if is_whole {
            self.at = at;
            self.parts = parts.clone();
        }
        parts
    }
}
