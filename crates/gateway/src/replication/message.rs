//! Records, changes and work as messages between daemons, and back.
//!
//! The messages are `bridgevane-protocol`'s; their field numbers never change.

use crate::control::patch::Patch;
use crate::control::replica::{RecordChange, RecordOutcome, Update};
use crate::control::source::Revision;
use crate::decisions::replication::source_path::SourcePath;
use crate::work_by_endpoint::{EndpointHash, Work, WorkByEndpoint};
use bridgevane_protocol::record_change::Change;
use bridgevane_protocol::{
    EndpointWork, RecordBatch, RecordChange as RecordChangeMessage, RecordPatch, RecordsAnswer,
    SourcePath as SourcePathMessage,
};
use bytes::Bytes;
use derive_more::{Display, Error};
use prost::Message;
use std::net::SocketAddr;

/// Moments are whole milliseconds, so that an age may be one more than their difference.
pub(super) const CLOCK_GRAIN_MS: u64 = 1;

/// Records are packed from so many bytes on. Not measured by itself (commit 8f01409: states of 0.9
/// MB over links of 10 Mbit/s), chosen because below it packing saves a packet or two.
const PACKED_FROM_BYTES: usize = 4 * 1024;
/// The most that the packed records of one answer may unpack to. Chosen because it is sixteen times the
/// largest value of the platform's store, and the records of some 60,000 endpoints at 270 bytes each; a
/// sender can't make a daemon allocate more.
pub(super) const MAX_UNPACKED_BYTES: usize = 16 << 20;
/// Records in one message of several, before they are packed. Chosen because packed they are some 40 KB
/// (measured: `fleet_state`, benches), which sixteen followers each get within a third of a second over
/// a link of 20 Mbit/s, whatever the fleet's size: so long a daemon waits for the next message before it takes
/// its upstream for lost.
const MAX_PART_BYTES: usize = 256 * 1024;
/// Endpoints in one message at most, those with the most work. Not measured by itself, chosen
/// because at some 13 bytes each they take 3.3 KB, five times a second, of a link of 10 Mbit/s.
const MAX_REPORTED_ENDPOINTS: usize = 256;
/// A running request weighs as much as so many prompt tokens when endpoints are left out. Not
/// measured, chosen because an engine reads so many in 30 ms, which decides nothing.
const RUNNING_WEIGHT_TOKENS: u64 = 1_500;

/// Records in an answer that can't be used here.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum MessageError {
    /// Packed records that would unpack to too much.
    #[display("the packed records are too large")]
    TooLarge,
    /// Packed records that are damaged.
    #[display("the packed records are damaged")]
    Damaged,
    /// The address of a daemon that is none, or a path of too many daemons.
    #[display("a bad address or path of daemons")]
    BadPath,
    /// A kind of change that a later version has added.
    #[display("a change of an unknown kind")]
    UnknownChange,
    /// A patch for another value than this daemon has.
    #[display("a patch doesn't fit the value here")]
    PatchDoesNotFit,
}

/// Puts an update into one answer.
pub fn put_update(answer: &mut RecordsAnswer, update: Update) {
    let (is_whole, changes) = changes_of(update);
    answer.is_whole = is_whole;
    answer.records = changes.into_iter().map(change_message).collect();
    pack(answer);
}

/// An update as messages, of which all but the last say that more follow; one at least.
pub fn update_parts(update: Update) -> Vec<RecordsAnswer> {
    let (is_whole, changes) = changes_of(update);
    let mut parts = vec![RecordsAnswer::default()];
    let mut part_bytes = 0;
    for change in changes {
        let message = change_message(change);
        let bytes = message.encoded_len();
        if part_bytes > 0 && part_bytes + bytes > MAX_PART_BYTES {
            parts.push(RecordsAnswer::default());
            part_bytes = 0;
        }
        part_bytes += bytes;
        let last = parts.len() - 1;
        parts[last].records.push(message);
    }
    let last = parts.len() - 1;
    for (at, part) in parts.iter_mut().enumerate() {
        part.is_whole = is_whole;
        part.has_more = at < last;
        pack(part);
    }
    parts
}

fn changes_of(update: Update) -> (bool, Vec<RecordChange>) {
    match update {
        Update::Full(changes) => (true, changes),
        Update::Changes(changes) => (false, changes),
    }
}

/// Takes the update out of the messages of an answer.
///
/// # Errors
/// [`MessageError`] when a part of it can't be used here.
pub fn take_update(parts: &mut [RecordsAnswer]) -> Result<Update, MessageError> {
    let mut changes: Vec<RecordChange> = Vec::new();
    let mut left_bytes = MAX_UNPACKED_BYTES;
    for part in &mut *parts {
        left_bytes -= unpack(part, left_bytes)?;
        for message in std::mem::take(&mut part.records) {
            changes.push(change_of_message(message)?);
        }
    }
    let is_whole = parts.last().is_some_and(|last| last.is_whole);
    Ok(if is_whole {
        Update::Full(changes)
    } else {
        Update::Changes(changes)
    })
}

fn change_message(change: RecordChange) -> RecordChangeMessage {
    let outcome = match change.outcome {
        RecordOutcome::Removed => Change::Gone(true),
        RecordOutcome::Whole(value) => Change::Whole(value),
        RecordOutcome::Patched { base, patch } => Change::Patch(RecordPatch {
            base_revision: base.0,
            kept_head: patch.kept_head as u64,
            kept_tail: patch.kept_tail as u64,
            inserted: patch.inserted,
        }),
    };
    RecordChangeMessage {
        key: change.key,
        revision: change.revision.0,
        change: Some(outcome),
    }
}

fn change_of_message(message: RecordChangeMessage) -> Result<RecordChange, MessageError> {
    let outcome = match message.change.ok_or(MessageError::UnknownChange)? {
        Change::Gone(_) => RecordOutcome::Removed,
        Change::Whole(value) => RecordOutcome::Whole(value),
        Change::Patch(patch) => RecordOutcome::Patched {
            base: Revision(patch.base_revision),
            patch: Patch {
                kept_head: patch.kept_head as usize,
                kept_tail: patch.kept_tail as usize,
                inserted: patch.inserted,
            },
        },
    };
    Ok(RecordChange {
        key: message.key,
        revision: Revision(message.revision),
        outcome,
    })
}

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

/// Unpacks the records of an answer, to `max_bytes` at most; gives how many bytes they are.
fn unpack(answer: &mut RecordsAnswer, max_bytes: usize) -> Result<usize, MessageError> {
    let packed = std::mem::take(&mut answer.packed_records);
    if packed.is_empty() {
        return Ok(0);
    }
    let damaged = |_| MessageError::Damaged;
    let (length, _) = lz4_flex::block::uncompressed_size(&packed).map_err(damaged)?;
    if length > max_bytes {
        return Err(MessageError::TooLarge);
    }
    let bytes = lz4_flex::decompress_size_prepended(&packed).map_err(damaged)?;
    let batch = RecordBatch::decode(Bytes::from(bytes)).map_err(|_| MessageError::Damaged)?;
    answer.records.extend(batch.records);
    Ok(length)
}

/// Work as messages: the endpoints with the most.
pub(super) fn work_messages(work: &WorkByEndpoint) -> Vec<EndpointWork> {
    let mut reported: Vec<(EndpointHash, Work)> = work.iter().collect();
    if reported.len() > MAX_REPORTED_ENDPOINTS {
        let weight = |work: Work| {
            let running = u64::from(work.running) * RUNNING_WEIGHT_TOKENS;
            work.prefill_tokens.saturating_add(running)
        };
        reported.sort_unstable_by_key(|(_, work)| std::cmp::Reverse(weight(*work)));
        reported.truncate(MAX_REPORTED_ENDPOINTS);
    }
    let messages = reported.into_iter().map(|(endpoint, work)| EndpointWork {
        endpoint: endpoint.0,
        prompt_tokens: u32::try_from(work.prefill_tokens).unwrap_or(u32::MAX),
        running: work.running,
    });
    messages.collect()
}

/// Work of messages.
pub(super) fn work_of_messages(messages: &[EndpointWork]) -> WorkByEndpoint {
    let mut work = WorkByEndpoint::default();
    for message in messages {
        let endpoint = EndpointHash(message.endpoint);
        let at_endpoint = Work {
            prefill_tokens: u64::from(message.prompt_tokens),
            running: message.running,
        };
        work.add(endpoint, at_endpoint);
    }
    work
}

/// A source path as a message.
pub(super) fn path_message(path: &SourcePath) -> SourcePathMessage {
    let daemons = path.daemons().iter().map(ToString::to_string);
    SourcePathMessage {
        daemons: daemons.collect(),
        reaches_source: path.reaches_source(),
    }
}

/// The source path of a message; without one the daemon follows nobody.
pub(super) fn path_of_message(
    message: Option<SourcePathMessage>,
) -> Result<SourcePath, MessageError> {
    let Some(message) = message else {
        return Ok(SourcePath::detached());
    };
    let daemons = addresses_of_messages(&message.daemons)?;
    SourcePath::new(daemons, message.reaches_source).ok_or(MessageError::BadPath)
}

/// The addresses of daemons.
pub(super) fn addresses_of_messages(texts: &[String]) -> Result<Vec<SocketAddr>, MessageError> {
    let addresses = texts.iter().map(|text| text.parse());
    let addresses: Result<Vec<SocketAddr>, _> = addresses.collect();
    addresses.map_err(|_| MessageError::BadPath)
}
