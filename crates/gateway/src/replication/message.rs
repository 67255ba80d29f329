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
/// The most that packed records may unpack to. Chosen because it is sixteen times the largest value
/// of the platform's store; a sender can't make a daemon allocate more.
const MAX_UNPACKED_BYTES: usize = 16 << 20;
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

/// Puts an update into an answer.
pub fn put_update(answer: &mut RecordsAnswer, update: Update) {
    let (is_whole, changes) = match update {
        Update::Everything(changes) => (true, changes),
        Update::Changes(changes) => (false, changes),
    };
    answer.is_whole = is_whole;
    answer.records = changes.into_iter().map(change_message).collect();
    pack(answer);
}

/// Takes the update out of an answer.
///
/// # Errors
/// [`MessageError`] when a part of it can't be used here.
pub fn take_update(answer: &mut RecordsAnswer) -> Result<Update, MessageError> {
    unpack(answer)?;
    let messages = std::mem::take(&mut answer.records);
    let changes = messages.into_iter().map(change_of_message);
    let changes: Vec<RecordChange> = changes.collect::<Result<_, _>>()?;
    Ok(if answer.is_whole {
        Update::Everything(changes)
    } else {
        Update::Changes(changes)
    })
}

fn change_message(change: RecordChange) -> RecordChangeMessage {
    let outcome = match change.outcome {
        RecordOutcome::Gone => Change::Gone(true),
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
        Change::Gone(_) => RecordOutcome::Gone,
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

fn unpack(answer: &mut RecordsAnswer) -> Result<(), MessageError> {
    let packed = std::mem::take(&mut answer.packed_records);
    if packed.is_empty() {
        return Ok(());
    }
    let damaged = |_| MessageError::Damaged;
    let (length, _) = lz4_flex::block::uncompressed_size(&packed).map_err(damaged)?;
    if length > MAX_UNPACKED_BYTES {
        return Err(MessageError::TooLarge);
    }
    let bytes = lz4_flex::decompress_size_prepended(&packed).map_err(damaged)?;
    let batch = RecordBatch::decode(Bytes::from(bytes)).map_err(|_| MessageError::Damaged)?;
    answer.records.extend(batch.records);
    Ok(())
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
