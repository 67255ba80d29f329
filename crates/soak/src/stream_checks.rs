//! Checks that resumable streams arrive whole and at one software version, by what their clients saw.

use derive_more::{Display, Error};
use std::collections::BTreeSet;
use std::str::FromStr;
use std::time::Duration;

/// The number of events of a whole stream.
pub const STREAM_EVENTS: u64 = 40;

/// An event of a stream; it names the worker that made it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its position, from 1.
    pub id: u64,
    /// The identifier of the attempt that the worker got.
    pub attempt_id: String,
    /// The worker.
    pub worker: String,
    /// The software version of the worker.
    pub version: String,
}

/// The text is no event of a worker.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("no event of a worker")]
pub struct UnreadableEvent;

impl FromStr for StreamEvent {
    type Err = UnreadableEvent;

    /// Reads `id: 3`, a line break, and `data: piece 3 of ATTEMPT by WORKER VERSION`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (id, data) = text.split_once('\n').ok_or(UnreadableEvent)?;
        let id = id.strip_prefix("id: ").ok_or(UnreadableEvent)?;
        let data = data.strip_prefix(&format!("data: piece {id} of "));
        let words: Vec<&str> = data.ok_or(UnreadableEvent)?.split(' ').collect();
        let [attempt_id, "by", worker, version] = words[..] else {
            return Err(UnreadableEvent);
        };
        Ok(Self {
            id: id.parse().map_err(|_| UnreadableEvent)?,
            attempt_id: attempt_id.to_owned(),
            worker: worker.to_owned(),
            version: version.to_owned(),
        })
    }
}

/// Why an attempt was refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// It isn't known at which version the stream began.
    #[display("stream_version_unknown")]
    VersionUnknown,
    /// No worker of the version that began the stream is left.
    #[display("stream_version_gone")]
    VersionGone,
    /// Another reason, with this status.
    #[display("status {_0}")]
    Other(u16),
}

impl Refusal {
    /// Reads the reason from an answer.
    pub fn new(status: u16, body: &str) -> Self {
        let versions = [Self::VersionUnknown, Self::VersionGone];
        let named = versions
            .into_iter()
            .find(|refusal| body.contains(&refusal.to_string()));
        named.unwrap_or(Self::Other(status))
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer ended as a whole one.
    #[display("whole")]
    Whole,
    /// The connection broke inside the answer, or nothing came for too long.
    #[display("broken")]
    Broken,
    /// No answer came.
    #[display("unanswered")]
    Unanswered,
    /// The client's deadline passed.
    #[display("out of time")]
    OutOfTime,
    /// It was refused.
    #[display("refused: {_0}")]
    Refused(Refusal),
}

/// An attempt to begin a stream or to take it up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamAttempt {
    /// Its identifier.
    pub id: String,
    /// The daemon that got it.
    pub daemon: usize,
    /// When it was sent, from the start of the run.
    pub sent_at: Duration,
    /// The newest event that the client had; 0: it begins the stream.
    pub after: u64,
    /// Whether an answer with 200 came.
    pub is_accepted: bool,
    /// The events of the answer.
    pub events: Vec<StreamEvent>,
    /// Parts of the answer that are no events of a worker.
    pub unreadable: Vec<String>,
    /// How it ended.
    pub end: AttemptEnd,
}

/// A stream, as its client saw it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordedStream {
    /// The attempts, in the order in which they were sent.
    pub attempts: Vec<StreamAttempt>,
}

impl RecordedStream {
    /// Returns the newest event that the client has; 0 without one.
    pub fn last_event(&self) -> u64 {
        let events = self.attempts.iter().flat_map(|attempt| &attempt.events);
        events.map(|event| event.id).max().unwrap_or_default()
    }

    /// Returns the identifier of the attempt that brought the first event.
    pub fn begun_by(&self) -> Option<&str> {
        let mut attempts = self.attempts.iter();
        let first = attempts.find(|attempt| !attempt.events.is_empty())?;
        Some(&first.id)
    }

    /// Returns whether an answer has ended as a whole one.
    pub fn has_ended(&self) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| attempt.end == AttemptEnd::Whole)
    }

    /// Returns whether an answer broke after it had brought an event.
    pub fn is_broken(&self) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| !attempt.events.is_empty() && attempt.end == AttemptEnd::Broken)
    }

    fn versions(&self) -> BTreeSet<String> {
        let events = self.attempts.iter().flat_map(|attempt| &attempt.events);
        events.map(|event| event.version.clone()).collect()
    }
}

/// A violated guarantee. Each names the attempt by its identifier.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum StreamViolation {
    /// The stream has parts of several versions.
    #[display("{id}: joined from {}: {}", versions.join(" and "), parts.join("; "))]
    Joined {
        /// The attempt that began the stream.
        id: String,
        /// The versions.
        versions: Vec<String>,
        /// The part that each attempt brought.
        parts: Vec<String>,
    },
    /// An event came twice, out of order, after a gap or after the last one.
    #[display("{id}: event {got} came in place of {expected}")]
    WrongEvent {
        /// The attempt.
        id: String,
        /// The event that was due.
        expected: u64,
        /// The event that came.
        got: u64,
    },
    /// The answer ended as a whole one before the last event.
    #[display("{id}: ended after event {last}")]
    EndedEarly {
        /// The attempt.
        id: String,
        /// The last event that the client has.
        last: u64,
    },
    /// An event belongs to another attempt.
    #[display("{id}: got an event of {owner}")]
    Foreign {
        /// The attempt.
        id: String,
        /// The attempt to which the event belongs.
        owner: String,
    },
    /// A part of the answer is no event of a worker.
    #[display("{id}: got {text:?}")]
    Unreadable {
        /// The attempt.
        id: String,
        /// The part.
        text: String,
    },
}

impl StreamViolation {
    /// Returns whether the stream has parts of several versions.
    pub fn is_joined(&self) -> bool {
        matches!(self, Self::Joined { .. })
    }
}

/// Returns all violations of a run.
pub fn find_stream_violations(streams: &[RecordedStream]) -> Vec<StreamViolation> {
    let mut found = Vec::new();
    for stream in streams {
        found.extend(find_joined(stream));
        for attempt in &stream.attempts {
            found.extend(find_unreadable(attempt));
            found.extend(find_foreign(attempt));
            found.extend(find_wrong_event(attempt));
            found.extend(find_early_end(attempt));
        }
    }
    found
}

fn find_joined(stream: &RecordedStream) -> Option<StreamViolation> {
    let versions: Vec<String> = stream.versions().into_iter().collect();
    let is_joined = versions.len() > 1;
    is_joined.then(|| StreamViolation::Joined {
        id: stream.begun_by().unwrap_or_default().to_owned(),
        versions,
        parts: stream.attempts.iter().filter_map(describe_part).collect(),
    })
}

/// Describes what an attempt brought; `None` if it brought nothing.
fn describe_part(attempt: &StreamAttempt) -> Option<String> {
    let (first, last) = (attempt.events.first()?, attempt.events.last()?);
    let versions: BTreeSet<&str> = attempt
        .events
        .iter()
        .map(|event| event.version.as_str())
        .collect();
    let versions: Vec<&str> = versions.into_iter().collect();
    Some(format!(
        "{} to {} of {} at {} ms through daemon {}",
        first.id,
        last.id,
        versions.join(" and "),
        attempt.sent_at.as_millis(),
        attempt.daemon
    ))
}

fn find_unreadable(attempt: &StreamAttempt) -> Option<StreamViolation> {
    let text = attempt.unreadable.first()?;
    Some(StreamViolation::Unreadable {
        id: attempt.id.clone(),
        text: text.clone(),
    })
}

fn find_foreign(attempt: &StreamAttempt) -> Option<StreamViolation> {
    let mut events = attempt.events.iter();
    let foreign = events.find(|event| event.attempt_id != attempt.id)?;
    Some(StreamViolation::Foreign {
        id: attempt.id.clone(),
        owner: foreign.attempt_id.clone(),
    })
}

/// Returns the first event of an attempt that isn't the next one of the stream.
fn find_wrong_event(attempt: &StreamAttempt) -> Option<StreamViolation> {
    let mut due = (attempt.after + 1..).zip(&attempt.events);
    let is_wrong = |due: &(u64, &StreamEvent)| due.0 != due.1.id || due.1.id > STREAM_EVENTS;
    let (expected, event) = due.find(is_wrong)?;
    Some(StreamViolation::WrongEvent {
        id: attempt.id.clone(),
        expected,
        got: event.id,
    })
}

fn find_early_end(attempt: &StreamAttempt) -> Option<StreamViolation> {
    let last = attempt
        .events
        .last()
        .map_or(attempt.after, |event| event.id);
    let is_early = attempt.end == AttemptEnd::Whole && last < STREAM_EVENTS;
    is_early.then(|| StreamViolation::EndedEarly {
        id: attempt.id.clone(),
        last,
    })
}

/// What is counted and not judged.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
#[display(
    "{streams} streams, {whole} whole; {broken} broken, {went_on} of them went on to their end; \
     take-ups: {taken_up} with 200, {version_unknown} stream_version_unknown, \
     {version_gone} stream_version_gone, {other_refusals} refused otherwise"
)]
pub struct StreamCounts {
    /// Streams that clients wanted.
    pub streams: usize,
    /// Those that ended as whole ones.
    pub whole: usize,
    /// Those that broke after an event.
    pub broken: usize,
    /// Those that broke and ended as whole ones.
    pub went_on: usize,
    /// Take-ups that were answered with 200.
    pub taken_up: usize,
    /// Take-ups refused since the version isn't known.
    pub version_unknown: usize,
    /// Take-ups refused since no worker of the version is left.
    pub version_gone: usize,
    /// Take-ups refused for another reason.
    pub other_refusals: usize,
}

impl StreamCounts {
    /// Counts the streams of a run.
    pub fn new(streams: &[RecordedStream]) -> Self {
        let mut counts = Self::default();
        for stream in streams {
            counts.streams += 1;
            counts.whole += usize::from(stream.has_ended());
            counts.broken += usize::from(stream.is_broken());
            counts.went_on += usize::from(stream.is_broken() && stream.has_ended());
            let take_ups = stream.attempts.iter().filter(|attempt| attempt.after > 0);
            take_ups.for_each(|attempt| counts.add_take_up(attempt));
        }
        counts
    }

    fn add_take_up(&mut self, attempt: &StreamAttempt) {
        self.taken_up += usize::from(attempt.is_accepted);
        match attempt.end {
            AttemptEnd::Refused(Refusal::VersionUnknown) => self.version_unknown += 1,
            AttemptEnd::Refused(Refusal::VersionGone) => self.version_gone += 1,
            AttemptEnd::Refused(Refusal::Other(_)) => self.other_refusals += 1,
            _ => {}
        }
    }
}
