//! Encoding and decoding of records, changes and work as messages between daemons.
//!
//! The messages are defined in `bridgevane-protocol`; their field numbers never change.

use crate::control::patch::Patch;
use crate::control::replica::{ChangedValue, RecordChange, ReplicaUpdate};
use crate::control::source::{Revision, SourceEra};
use crate::decisions::endpoint::engine_pace::WorkTime;
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

/// The resolution of the clock: an age may be this much more than the difference of its times.
pub(super) const CLOCK_RESOLUTION_MS: u64 = 1;

/// The minimum size at which records are packed. States of 0.9 MB went over links of 10 Mbit/s;
/// below this size packing saves only a packet or two.
const MIN_PACKED_BYTES: usize = 4 * 1024;
/// The maximum size to which the packed records of one answer may unpack, so that a sender can't
/// make a daemon allocate more. It is sixteen times the largest value of the platform's store, and
/// holds the records of some 60,000 endpoints at 270 bytes each.
pub(super) const MAX_UNPACKED_BYTES: usize = 16 << 20;
/// The maximum size of the records in one of several messages, before packing. Packed they take
/// some 40 KB (`fleet_state`, benches), which sixteen followers each receive within a third of a
/// second over a link of 20 Mbit/s, whatever the fleet's size: within a
/// daemon's timeout for the next message.
const MAX_PART_BYTES: usize = 256 * 1024;
/// The maximum number of endpoints per message; those with the most work are sent. At some 13 bytes
/// each they take 3.3 KB, five times a second, of a link of 10 Mbit/s.
const MAX_REPORTED_ENDPOINTS: usize = 256;
/// The weight of a running request in prompt tokens, for choosing the reported endpoints. An engine
/// reads this many tokens in 30 ms, which doesn't affect any decision.
const RUNNING_WEIGHT_TOKENS: u64 = 1_500;

/// Why the records in an answer can't be used.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum MessageError {
    /// The packed records would unpack to too many bytes.
    #[display("the packed records are too large")]
    TooLarge,
    /// The packed records are damaged.
    #[display("the packed records are damaged")]
    Damaged,
    /// A daemon's address is invalid, or a path has too many daemons.
    #[display("a bad address or path of daemons")]
    BadPath,
    /// The kind of change is unknown; a later version has added it.
    #[display("a change of an unknown kind")]
    UnknownChange,
    /// A patch was made for another value than this daemon has.
    #[display("a patch doesn't fit the value here")]
    PatchDoesNotFit,
}

/// Encodes an update into one answer.
pub fn encode_update(answer: &mut RecordsAnswer, update: ReplicaUpdate) {
    let (is_whole, changes) = into_changes(update);
    answer.era = era_of(&changes);
    answer.is_whole = is_whole;
    answer.records = changes.into_iter().map(encode_change).collect();
    pack(answer);
}

/// Encodes an update as one or more answers, of which all but the last say that more follow.
pub fn encode_update_parts(update: ReplicaUpdate) -> Vec<RecordsAnswer> {
    let (is_whole, changes) = into_changes(update);
    let era = era_of(&changes);
    let mut parts = vec![RecordsAnswer::default()];
    let mut part_bytes = 0;
    for change in changes {
        let message = encode_change(change);
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
        part.era = era;
        part.is_whole = is_whole;
        part.has_more = at < last;
        pack(part);
    }
    parts
}

/// Returns the era of changes, which is the same for all of an update.
fn era_of(changes: &[RecordChange]) -> Option<u32> {
    changes.last().map(|change| change.revision.era().0)
}

/// Decodes a revision of another daemon; one that knows no eras counts as before all others.
pub(super) fn decode_revision(era: Option<u32>, counter: u64) -> Revision {
    Revision::new(SourceEra(era.unwrap_or_default()), counter)
}

fn into_changes(update: ReplicaUpdate) -> (bool, Vec<RecordChange>) {
    match update {
        ReplicaUpdate::Full(changes) => (true, changes),
        ReplicaUpdate::Changes(changes) => (false, changes),
    }
}

/// Decodes the update from the messages of an answer.
///
/// # Errors
/// [`MessageError`] when a part of it can't be used.
pub fn decode_update(parts: &mut [RecordsAnswer]) -> Result<ReplicaUpdate, MessageError> {
    let mut changes: Vec<RecordChange> = Vec::new();
    let mut left_bytes = MAX_UNPACKED_BYTES;
    for part in &mut *parts {
        left_bytes -= unpack(part, left_bytes)?;
        for message in std::mem::take(&mut part.records) {
            changes.push(decode_change(part.era, message)?);
        }
    }
    let is_whole = parts.last().is_some_and(|last| last.is_whole);
    Ok(if is_whole {
        ReplicaUpdate::Full(changes)
    } else {
        ReplicaUpdate::Changes(changes)
    })
}

fn encode_change(change: RecordChange) -> RecordChangeMessage {
    let outcome = match change.outcome {
        ChangedValue::Removed => Change::Gone(true),
        ChangedValue::Whole(value) => Change::Whole(value),
        ChangedValue::Patched { base, patch } => Change::Patch(RecordPatch {
            base_revision: base.counter(),
            kept_head: patch.kept_head as u64,
            kept_tail: patch.kept_tail as u64,
            inserted: patch.inserted,
            base_digest: patch.base_digest,
        }),
    };
    RecordChangeMessage {
        key: change.key,
        revision: change.revision.counter(),
        change: Some(outcome),
    }
}

fn decode_change(
    era: Option<u32>,
    message: RecordChangeMessage,
) -> Result<RecordChange, MessageError> {
    let outcome = match message.change.ok_or(MessageError::UnknownChange)? {
        Change::Gone(_) => ChangedValue::Removed,
        Change::Whole(value) => ChangedValue::Whole(value),
        Change::Patch(patch) => ChangedValue::Patched {
            base: decode_revision(era, patch.base_revision),
            patch: Patch {
                kept_head: patch.kept_head as usize,
                kept_tail: patch.kept_tail as usize,
                inserted: patch.inserted,
                base_digest: patch.base_digest,
            },
        },
    };
    Ok(RecordChange {
        key: message.key,
        revision: decode_revision(era, message.revision),
        outcome,
    })
}

/// Packs many records: those of endpoints are similar to each other, and links may be slow.
fn pack(answer: &mut RecordsAnswer) {
    let records = std::mem::take(&mut answer.records);
    let batch = RecordBatch { records };
    if batch.encoded_len() < MIN_PACKED_BYTES {
        answer.records = batch.records;
        return;
    }
    let packed = lz4_flex::compress_prepend_size(&batch.encode_to_vec());
    answer.packed_records = packed.into();
}

/// Unpacks the records of an answer, to at most `max_bytes`; returns their size in bytes.
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

/// Encodes work, for the endpoints with the most of it.
pub(super) fn encode_work(work: &WorkByEndpoint) -> Vec<EndpointWork> {
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
        quiet_streams: work.quiet_streams,
        work_time: work.work_time.map_or(0, |work_time| work_time.0),
    });
    messages.collect()
}

/// Decodes work.
pub(super) fn decode_work(messages: &[EndpointWork]) -> WorkByEndpoint {
    let mut work = WorkByEndpoint::default();
    for message in messages {
        let endpoint = EndpointHash(message.endpoint);
        let at_endpoint = Work {
            prefill_tokens: u64::from(message.prompt_tokens),
            running: message.running,
            quiet_streams: message.quiet_streams,
            work_time: WorkTime::new(message.work_time),
        };
        work.add(endpoint, at_endpoint);
    }
    work
}

/// Encodes a source path.
pub(super) fn encode_path(path: &SourcePath) -> SourcePathMessage {
    let daemons = path.daemons().iter().map(ToString::to_string);
    SourcePathMessage {
        daemons: daemons.collect(),
        reaches_source: path.reaches_source(),
    }
}

/// Decodes a source path; without one the daemon doesn't follow any other.
pub(super) fn decode_path(message: Option<SourcePathMessage>) -> Result<SourcePath, MessageError> {
    let Some(message) = message else {
        return Ok(SourcePath::detached());
    };
    let daemons = parse_addresses(&message.daemons)?;
    SourcePath::new(daemons, message.reaches_source).ok_or(MessageError::BadPath)
}

/// Parses the addresses of daemons.
pub(super) fn parse_addresses(texts: &[String]) -> Result<Vec<SocketAddr>, MessageError> {
    let addresses = texts.iter().map(|text| text.parse());
    let addresses: Result<Vec<SocketAddr>, _> = addresses.collect();
    addresses.map_err(|_| MessageError::BadPath)
}
