//! Quiet engines: in each data centre some engines are kept for the streams with the tightest
//! targets, and read few prompts.
//!
//! Inputs: the longest pauses that the routes of a service allow between events (ms), the tokens of
//! a prompt, the read rate, the endpoints with data centre, pace and slots, the number of such streams
//! that all daemons run, and the number of all requests that they run ([`QuietDemand`]).
//!
//! Rules:
//! - A request needs a quiet engine if its route's pause target is at most `TIGHT_RATIO` times the
//!   tightest of the service, another route's is looser, and its own prompt is read within its pause
//!   target. Where routes don't differ, it needs one if its prompt is short or its answer is long
//!   in proportion.
//! - Where routes don't differ, `UNDIVIDED_SHARE` of the engines are quiet.
//! - Otherwise there are enough quiet engines to run these streams in `MAX_OCCUPANCY` of their
//!   slots, and so that each runs at most `MAX_WORK_RATIO` of the requests that an engine runs in the
//!   mean, at least `MIN_SHARE` and at most `MAX_SHARE` of each data centre's engines, and at least
//!   one of `MIN_DIVIDED`. The highest number of streams within `DEMAND_WINDOW` counts.
//! - The fastest engines are quiet; among equally fast ones, those with the lowest hash of their id.
//!   All daemons that see the same endpoints choose the same ones.
//! - The engines of `MIN_SHARE` hold no prefixes of prompts. The others that are quiet for a while go
//!   on holding theirs, so that a burst of streams doesn't move them.
//! - Whether an engine is quiet is a cost in [`super::placement`], not a hard limit, so that each
//!   group takes over the other's requests when that is lost or full.
//!
//! Reason: an engine reads prompts between the tokens of its streams, whose events then come
//! several times more slowly. The streams with the tightest target are the first that are late by it,
//! and a fast engine pauses them for the shortest time.
//!
//! Answers a burst of streams (more quiet engines), a burst of long prompts (no more than
//! `MIN_SHARE` are withheld from them), and both.
//!
//! Tests: `quiet_engines.rs`, `decisions.rs::streams_and_long_prompts_go_to_different_engines`,
//! `streams_leave_an_engine_before_its_slots_are_taken`.

use super::engine_pace::Pace;
use super::engine_rates::EngineRates;
use crate::prompt::Prompt;
use bridgevane_decisions::EndpointIx;
use bridgevane_types::{DataCentreId, DurationMs};
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// The ratio to the tightest pause target up to which a target counts as tight.
const TIGHT_RATIO: f64 = 1.5;
/// The share of a quiet engine's slots that its streams occupy: the number of streams may double
/// before an engine is full and preempts some of them.
const MAX_OCCUPANCY: f64 = 0.5;
/// The number of streams at a quiet engine, as a multiple of the requests that an engine runs in the
/// mean: an engine that reads no prompts bears a few more, and its events are late long before its slots
/// are taken.
const MAX_WORK_RATIO: f64 = 1.2;
/// The smallest share of a data centre's engines that is quiet, so that the first streams of a burst
/// find one.
const MIN_SHARE: f64 = 0.1;
/// The largest share: prompts keep most of the engines whatever arrives.
const MAX_SHARE: f64 = 0.3;
/// The smallest number of engines of a data centre of which at least one is quiet.
const MIN_DIVIDED: usize = 3;
/// The share where routes don't differ: most requests count as streams there, so that their number
/// says little. Also the share until a service is first refreshed.
pub const UNDIVIDED_SHARE: f64 = 0.3;
/// How long the highest number of streams counts, so that the engines don't change their group, and
/// lose cached prompts, with every fluctuation.
pub const DEMAND_WINDOW: DurationMs = DurationMs(2_000);
/// The number of answer tokens per prompt token from which a request counts as a stream where routes
/// don't differ.
const MIN_ANSWER_RATIO: f64 = 0.15;
/// The longest prompt that counts as a stream whatever its answer, where routes don't differ.
const MAX_SHORT_PROMPT_TOKENS: u64 = 2_500;

/// The pause targets of the routes of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PauseTargets {
    tightest: Option<DurationMs>,
    loosest: Option<DurationMs>,
}

impl PauseTargets {
    /// Adds the pause target of a route.
    pub fn add(&mut self, target: DurationMs) {
        let is_tighter = self.tightest.is_none_or(|tightest| target < tightest);
        if is_tighter {
            self.tightest = Some(target);
        }
        self.loosest = self.loosest.max(Some(target));
    }

    /// Returns the longest pause target that counts as tight; `None` if the targets don't differ.
    fn tight_limit_ms(&self) -> Option<f64> {
        let limit_ms = TIGHT_RATIO * self.tightest?.0 as f64;
        (self.loosest?.0 as f64 > limit_ms).then_some(limit_ms)
    }

    /// Returns whether a request needs a quiet engine; `target` is the pause target of its route.
    pub fn needs_quiet(
        &self,
        target: Option<DurationMs>,
        prompt: &Prompt,
        rates: &EngineRates,
    ) -> bool {
        let Some(limit_ms) = self.tight_limit_ms() else {
            return is_stream_like(prompt);
        };
        let Some(target_ms) = target.map(|target| target.0 as f64) else {
            return false;
        };
        let read_ms = rates.read_ms(prompt.tokens.0 as f64, Pace::USUAL);
        target_ms <= limit_ms && read_ms <= target_ms
    }
}

/// Returns whether a request counts as a stream where routes don't differ: a pause costs it more
/// than the time to read its prompt.
pub fn is_stream_like(prompt: &Prompt) -> bool {
    let is_short = prompt.tokens.0 <= MAX_SHORT_PROMPT_TOKENS;
    let answer_tokens = prompt.max_answer_tokens.0 as f64;
    is_short || answer_tokens > MIN_ANSWER_RATIO * prompt.tokens.0 as f64
}

/// What all daemons run at the engines of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuietDemand {
    /// The running streams that need a quiet engine.
    pub streams: u32,
    /// All running requests.
    pub running: u32,
    /// The slots of all engines.
    pub slots: u64,
}

/// Returns the share of engines that are quiet.
pub fn quiet_share(targets: &PauseTargets, demand: QuietDemand) -> f64 {
    if targets.tight_limit_ms().is_none() {
        return UNDIVIDED_SHARE;
    }
    let streams = f64::from(demand.streams);
    let by_slots = streams / MAX_OCCUPANCY / demand.slots.max(1) as f64;
    // The highest number of streams may be older than that of all requests.
    let running = f64::from(demand.running.max(demand.streams).max(1));
    let by_work = streams / MAX_WORK_RATIO / running;
    by_slots.max(by_work).clamp(MIN_SHARE, MAX_SHARE)
}

/// An engine of a service.
#[derive(Clone, Debug)]
pub struct GroupMember<'a> {
    /// Its index on this daemon.
    pub index: EndpointIx,
    /// Its id, the same on all daemons.
    pub id: &'a str,
    /// Its data centre.
    pub data_centre: &'a DataCentreId,
    /// Its pace.
    pub pace: Pace,
}

/// What an engine is kept for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineRole {
    /// Quiet whatever arrives: it holds no prefixes of prompts.
    AlwaysQuiet,
    /// Quiet at present: it still holds prefixes, which other engines fetch from it.
    Quiet,
    /// Reads prompts.
    #[default]
    Reading,
}

impl EngineRole {
    /// Returns whether the engine is kept for streams at present.
    pub fn is_quiet(self) -> bool {
        self != Self::Reading
    }

    /// Returns whether a request prefers the engine, so that it may hold the request's prefix.
    pub(crate) fn may_hold_for(self, needs_quiet: bool) -> bool {
        if needs_quiet {
            self.is_quiet()
        } else {
            self != Self::AlwaysQuiet
        }
    }
}

/// Returns the roles of a service's engines; those that are left out read prompts.
pub fn choose<'a>(
    members: impl Iterator<Item = GroupMember<'a>>,
    share: f64,
) -> HashMap<EndpointIx, EngineRole> {
    let mut by_data_centre: HashMap<&DataCentreId, Vec<(f64, u64, EndpointIx)>> = HashMap::new();
    for member in members {
        let hash = xxh3_64(member.id.as_bytes());
        let local = by_data_centre.entry(member.data_centre).or_default();
        local.push((member.pace.0, hash, member.index));
    }
    let mut roles = HashMap::new();
    for local in by_data_centre.values_mut() {
        local.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let least = usize::from(local.len() >= MIN_DIVIDED);
        let count = |share: f64| ((share * local.len() as f64).round() as usize).max(least);
        let (always, quiet) = (count(MIN_SHARE.min(share)), count(share));
        for (at, (_, _, index)) in local.iter().take(quiet).enumerate() {
            let role = if at < always {
                EngineRole::AlwaysQuiet
            } else {
                EngineRole::Quiet
            };
            roles.insert(*index, role);
        }
    }
    roles
}
