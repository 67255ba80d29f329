//! Replica changes as messages between daemons, and back.

use crate::replication::patch::Patch;
use crate::replication::replica::{Outcome, RecordChange, Update};
use crate::source::Revision;
use bridgevane_protocol::record_change::Change;
use bridgevane_protocol::{RecordChange as Message, RecordPatch, RecordsAnswer};

/// The message of a change.
fn message(change: RecordChange) -> Message {
    let outcome = match change.outcome {
        Outcome::Gone => Change::Gone(true),
        Outcome::Whole(value) => Change::Whole(value),
        Outcome::Patched { base, patch } => Change::Patch(RecordPatch {
            base_revision: base.0,
            kept_head: patch.kept_head as u64,
            kept_tail: patch.kept_tail as u64,
            inserted: patch.inserted,
        }),
    };
    Message {
        key: change.key,
        revision: change.revision.0,
        change: Some(outcome),
    }
}

/// The change of a message; none for one of a later version.
fn change(message: Message) -> Option<RecordChange> {
    let outcome = match message.change? {
        Change::Gone(_) => Outcome::Gone,
        Change::Whole(value) => Outcome::Whole(value),
        Change::Patch(patch) => Outcome::Patched {
            base: Revision(patch.base_revision),
            patch: Patch {
                kept_head: patch.kept_head as usize,
                kept_tail: patch.kept_tail as usize,
                inserted: patch.inserted,
            },
        },
    };
    Some(RecordChange {
        key: message.key,
        revision: Revision(message.revision),
        outcome,
    })
}

/// Puts an update into an answer.
pub(super) fn put_update(answer: &mut RecordsAnswer, update: Update) {
    let (is_whole, changes) = match update {
        Update::Everything(changes) => (true, changes),
        Update::Changes(changes) => (false, changes),
    };
    answer.is_whole = is_whole;
    answer.records = changes.into_iter().map(message).collect();
}

/// Takes the update out of an answer; none when a part of it is unknown here.
pub(super) fn take_update(answer: &mut RecordsAnswer) -> Option<Update> {
    let messages = std::mem::take(&mut answer.records);
    let changes: Option<Vec<RecordChange>> = messages.into_iter().map(change).collect();
    Some(if answer.is_whole {
        Update::Everything(changes?)
    } else {
        Update::Changes(changes?)
    })
}
