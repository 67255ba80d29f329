//! Replica changes as messages between daemons, and back.

use crate::control::patch::Patch;
use crate::control::replica::{Outcome, RecordChange, Update};
use crate::control::source::Revision;
use bridgevane_protocol::record_change::Change;
use bridgevane_protocol::{RecordBatch, RecordChange as Message, RecordPatch, RecordsAnswer};
use bytes::Bytes;
use prost::Message as _;

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

/// So many bytes of records are packed.
const PACKED_FROM_BYTES: usize = 4 * 1024;
/// The most that packed records may unpack to.
const MAX_UNPACKED_BYTES: usize = 16 << 20;

/// Packs many records: those of endpoints are much alike, and links may be narrow.
fn pack(answer: &mut RecordsAnswer) {
    let records = std::mem::take(&mut answer.records);
    let batch = RecordBatch { records };
    if batch.encoded_len() < PACKED_FROM_BYTES {
        answer.records = batch.records;
        return;
    }
    let packed = lz4_flex::compress_prepend_size(&batch.encode_to_vec());
    answer.packed_records = packed.into();
}

/// Unpacks records; none when they can't be.
fn unpack(answer: &mut RecordsAnswer) -> Option<()> {
    let packed = std::mem::take(&mut answer.packed_records);
    if packed.is_empty() {
        return Some(());
    }
    let (length, _) = lz4_flex::block::uncompressed_size(&packed).ok()?;
    if length > MAX_UNPACKED_BYTES {
        return None;
    }
    let bytes = lz4_flex::decompress_size_prepended(&packed).ok()?;
    let batch = RecordBatch::decode(Bytes::from(bytes)).ok()?;
    answer.records.extend(batch.records);
    Some(())
}

/// Puts an update into an answer.
pub fn put_update(answer: &mut RecordsAnswer, update: Update) {
    let (is_whole, changes) = match update {
        Update::Everything(changes) => (true, changes),
        Update::Changes(changes) => (false, changes),
    };
    answer.is_whole = is_whole;
    answer.records = changes.into_iter().map(message).collect();
    pack(answer);
}

/// Takes the update out of an answer; none when a part of it is unknown here.
pub fn take_update(answer: &mut RecordsAnswer) -> Option<Update> {
    unpack(answer)?;
    let messages = std::mem::take(&mut answer.records);
    let changes: Option<Vec<RecordChange>> = messages.into_iter().map(change).collect();
    Some(if answer.is_whole {
        Update::Everything(changes?)
    } else {
        Update::Changes(changes?)
    })
}
