//! Placement: which endpoint gets a request.
//!
//! Inputs: the prompt, the endpoints that this daemon saw read parts of it ([`Holders`]), the
//! preferred endpoints, and a `Candidate` for each endpoint. The requests that other daemons run
//! count, since they occupy an engine's slots. The prompts that other daemons report don't affect
//! the choice, since placement was worse when they did; they only lengthen the queue that load
//! shedding uses. See docs/design/14.
//!
//! Rules:
//! - Every untried endpoint of the service gets an estimate in milliseconds, and the lowest one
//!   wins.
//! - For plain requests the estimate is the share of the endpoint's slots that is occupied. For
//!   prompts it is the sum of the expected queue, the requests that run there, the prompt tokens
//!   that the endpoint has to read, and a cost for engines of the wrong group
//!   ([`super::quiet_engines`]). Times to read are those of the endpoint's pace
//!   ([`super::engine_pace`]).
//! - Costs of distance and of bad health ([`super::ejection`], [`super::silence`]) are added.
//! - A prompt with a long shared prefix goes to its preferred endpoints only, while one of them is
//!   trusted ([`super::prompt_affinity`]).
//! - Tokens that another engine has cached needn't be read ([`super::cache_fetch`]).
//! - Endpoints with equal cost are ordered by [`super::tie_break`]: where there are many more
//!   endpoints than requests, it alone places most requests.
//!
//! All weights are milliseconds of a request's time to first token, or the equivalent in value.
//!
//! Tests: `decisions.rs`, all that place a prompt.

use super::cache_fetch::{self, CacheFetch, CacheSource};
use super::ejection::{HealthSnapshot, Trust};
use super::engine_pace::Pace;
use super::engine_rates::EngineRates;
use super::load_report::LoadSnapshot;
use super::prompt_affinity::{self, PreferredEndpoints};
use super::tie_break::TieBreak;
use crate::prompt::Prompt;
use crate::work_by_endpoint::EndpointHash;
use bridgevane_decisions::{EndpointIx, Holders};

/// The cost of each request that runs on an engine of the usual pace. Steps get slower with more
/// requests, and it breaks ties between engines without a queue.
const RUNNING_REQUEST_MS: f64 = 1.0;
/// The share of an engine's slots from which it counts as crowded, for the first and for the last
/// request in the engine's order of requests. Once all slots are occupied, requests of a higher
/// priority preempt others in the middle of their streams. All daemons see the same reports, and
/// between two reports all of them would send to the one engine that is not crowded yet; so the
/// share differs between requests. At 0.8 for all requests, 87 concurrent streams landed on one
/// engine with 64 slots.
const CROWDED_SHARES: [f64; 2] = [0.6, 0.9];
/// The cost of an engine's last free slot; it rises linearly from the crowded share to full.
const LAST_SLOT_MS: f64 = 600.0;
/// The cost of an endpoint with all slots occupied for a plain request: about as long as a plain
/// request takes at the users' sites.
const PLAIN_FULL_MS: f64 = 20.0;
/// The cost of another data centre. A round trip is 1 to 3 ms, the rest is the price of the
/// traffic. A lower value moves sessions between data centres sooner, a higher one keeps them.
const REMOTE_MS: f64 = 12.0;
/// The cost of an endpoint that always fails; one that fails at times costs its share of this. At a
/// failure share of 0.1 it is 200 ms, more than the time to read most prompts.
const ALWAYS_FAILING_MS: f64 = 2_000.0;
/// The health cost from which an endpoint isn't trusted, and a prompt isn't kept there for its
/// cached prefix. It is the cost at the failure share above which [`super::ejection`] calls an
/// endpoint failing.
const UNTRUSTED_MS: f64 = 500.0;
/// The cost of a silent endpoint. It must exceed any queue that is admitted, and be less than the
/// cost of an ejected endpoint.
const SILENT_MS: f64 = 4_000.0;
/// The cost of an endpoint for a request that has found another endpoint of the same data centre
/// lost: unreachable, or its address taken over by another. Endpoints of a data centre disappear
/// together and return with new ids at addresses that old records still name. It equals
/// [`UNTRUSTED_MS`], so that the request's prompt isn't kept there, and is less than the cost of a
/// silent endpoint.
const NEAR_LOST_ENDPOINT_MS: f64 = UNTRUSTED_MS;
/// The cost of an ejected endpoint. It must exceed everything else: an ejected endpoint gets
/// requests only if all are ejected.
const EJECTED_MS: f64 = 20_000.0;
/// The factor for shared tokens that are cached elsewhere but read again: reading them delays
/// everything else on the engine.
const REREAD_WEIGHT: f64 = 3.0;
/// The cost of a stream at an engine that reads prompts, at the usual pace: about the time for which
/// it pauses while one is read.
const STREAM_AT_UNQUIET_MS: f64 = 100.0;
/// The weight in the queue of prompts that other daemons report. At 1 too many requests are shed,
/// since daemons report prompts that they don't know to be cached; at 0 too few when traffic grows.
/// See docs/design/14.
const REPORTED_PREFILL_WEIGHT: f64 = 0.15;

/// The state of one endpoint when a request is placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    /// The endpoint's index on this daemon.
    pub(crate) index: EndpointIx,
    /// The hash of this endpoint incarnation, the same on all daemons.
    pub(crate) hash: EndpointHash,
    /// The number of requests that it runs at once.
    pub(crate) slots: u32,
    /// Whether it is in this daemon's data centre.
    pub(crate) is_local: bool,
    /// Whether it is quiet.
    pub(crate) is_quiet: bool,
    /// Its pace.
    pub(crate) pace: Pace,
    /// The position of the request in the endpoint's order of requests, from 0 to 1; 0 where it has
    /// no effect.
    pub(crate) order_position: f64,
    /// The load of the endpoint.
    pub(crate) load: LoadSnapshot,
    /// The queue delay observed by this daemon's own requests, in milliseconds.
    pub(crate) observed_queue_ms: f64,
    /// The health of the endpoint.
    pub(crate) health: HealthSnapshot,
    /// Whether it is silent while a request is waiting.
    pub(crate) is_silent: bool,
    /// Whether the request has found another endpoint of its data centre lost.
    pub(crate) is_near_lost_endpoint: bool,
}

/// The groups of candidates: any in the first one is chosen before any in the second, whatever the
/// cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    /// A trusted preferred endpoint of a prompt that goes to preferred endpoints only.
    Preferred,
    /// Any other endpoint.
    Other,
}

/// The estimated cost of a request at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    group: Group,
    /// The rank among equal costs; the lowest goes first.
    tie_rank: u64,
    /// The cost, in milliseconds.
    pub cost_ms: f64,
    /// The number of prompt tokens that the endpoint has to read.
    pub prefill_tokens: u64,
    /// The part that it fetches from another engine's cache instead.
    pub fetch: Option<CacheFetch>,
    /// The time that the endpoint takes to read these tokens when it is idle, in milliseconds.
    pub prefill_ms: f64,
    /// How long the request would wait there before its prompt is read, with the prompts of other
    /// daemons, in milliseconds.
    pub queue_ms: f64,
}

/// Returns the candidate with the lowest cost, among equal ones that with the lowest rank; `None`
/// if there are no candidates.
pub(crate) fn best<T>(candidates: impl Iterator<Item = (T, Estimate)>) -> Option<(T, Estimate)> {
    candidates.min_by(|(_, a), (_, b)| {
        let by_cost = a.cost_ms.total_cmp(&b.cost_ms);
        let by_rank = a.tie_rank.cmp(&b.tie_rank);
        a.group.cmp(&b.group).then(by_cost).then(by_rank)
    })
}

/// Estimates the cost of one request at each endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Estimator<'a> {
    /// The prompt; empty for plain requests.
    pub(crate) prompt: &'a Prompt,
    /// The endpoints that this daemon saw read the first parts of the prompt.
    pub(crate) holders: Holders,
    /// The endpoints where all daemons place prompts with this shared prefix.
    pub(crate) preferred: PreferredEndpoints,
    /// The engines that others may fetch cached parts of the prompt from.
    pub(crate) sources: Vec<CacheSource>,
    /// Whether the request needs a quiet engine.
    pub(crate) needs_quiet: bool,
    /// The rates of the service's engines.
    pub(crate) rates: EngineRates,
    /// The order of endpoints with equal cost.
    pub(crate) tie_break: TieBreak,
}

impl Estimator<'_> {
    /// Returns the estimate for one endpoint.
    pub(crate) fn estimate(&self, candidate: &Candidate) -> Estimate {
        let cached_tokens = self.cached_tokens(candidate.index);
        let fetch = cache_fetch::choose(candidate.index, cached_tokens, &self.sources);
        let fetched_tokens = fetch.map_or(0, |fetch| fetch.tokens);
        let prefill_tokens = self.prompt.tokens.0;
        let prefill_tokens = prefill_tokens.saturating_sub(cached_tokens + fetched_tokens);
        let prefill_ms = self.rates.read_ms(prefill_tokens as f64, candidate.pace);
        let queue_ms = self.own_queue_ms(candidate);
        let work_ms = if self.prompt.is_empty() {
            plain_work_ms(candidate)
        } else {
            let fetch_ms = self.rates.fetch_ms(fetched_tokens);
            let pause_ms = self.pause_ms(candidate, prefill_ms);
            let model_ms = self.model_work_ms(candidate, prefill_tokens) + pause_ms;
            queue_ms + fetch_ms * REREAD_WEIGHT + model_ms
        };
        let distance_ms = if candidate.is_local { 0.0 } else { REMOTE_MS };
        let health_ms = health_ms(candidate);
        let expected_queue_ms = self.expected_queue_ms(queue_ms, candidate);
        Estimate {
            group: self.group(candidate, health_ms),
            tie_rank: self.tie_break.rank(candidate.hash),
            cost_ms: work_ms + distance_ms + health_ms,
            prefill_tokens,
            fetch,
            prefill_ms,
            queue_ms: expected_queue_ms,
        }
    }

    fn group(&self, candidate: &Candidate, health_ms: f64) -> Group {
        let is_trusted = health_ms < UNTRUSTED_MS;
        let is_holder = self.preferred.is_holder(candidate.index);
        if prompt_affinity::is_exclusive(self.prompt) && is_holder && is_trusted {
            Group::Preferred
        } else {
            Group::Other
        }
    }

    /// Returns the number of tokens of the prompt in an endpoint's prefix cache, as far as this
    /// daemon can tell.
    pub(crate) fn cached_tokens(&self, endpoint: EndpointIx) -> u64 {
        let mut holders = self.holders.iter().flatten();
        let seen = holders.find(|(holder, _)| *holder == endpoint);
        let seen_tokens = seen.map_or(0, |(_, parts)| self.prompt.prefix_tokens(*parts as usize));
        let likely_tokens = self.preferred.likely_cached_tokens(endpoint, self.prompt);
        seen_tokens.max(likely_tokens)
    }

    fn model_work_ms(&self, candidate: &Candidate, prefill_tokens: u64) -> f64 {
        let running = f64::from(candidate.load.fleet_running());
        let running_ms = running * RUNNING_REQUEST_MS * candidate.pace.0;
        let own_tokens = self.prompt.own_tokens();
        let reread_tokens = prefill_tokens.saturating_sub(own_tokens) as f64;
        let weighted_tokens = own_tokens as f64 + reread_tokens * REREAD_WEIGHT;
        let reading_ms = self.rates.read_ms(weighted_tokens, candidate.pace);
        running_ms + crowded_ms(candidate) + reading_ms
    }

    /// Returns the cost of pauses: those of the request itself if it needs a quiet engine, otherwise
    /// those of the streams that run there, each of which waits while the prompt is read.
    fn pause_ms(&self, candidate: &Candidate, prefill_ms: f64) -> f64 {
        if self.needs_quiet {
            let pace = candidate.pace.0;
            return if candidate.is_quiet {
                0.0
            } else {
                STREAM_AT_UNQUIET_MS * pace
            };
        }
        // Streams are about to come to a quiet engine that has none.
        let streams = candidate.load.quiet_streams.max(candidate.is_quiet.into());
        f64::from(streams) * prefill_ms
    }

    /// Returns the queue known to this daemon alone, by which an endpoint is chosen: the recent waits of
    /// its requests, and at least the prompts that it has sent and that were not read yet.
    fn own_queue_ms(&self, candidate: &Candidate) -> f64 {
        let sent_tokens = candidate.load.own_prefill_tokens as f64;
        let sent_ms = self.rates.read_ms(sent_tokens, candidate.pace);
        candidate.observed_queue_ms.max(sent_ms)
    }

    /// Returns the queue by which a request is admitted: also that of the prompts that other daemons
    /// report.
    fn expected_queue_ms(&self, own_queue_ms: f64, candidate: &Candidate) -> f64 {
        let load = candidate.load;
        let others_tokens = load.others_prefill_tokens as f64 * REPORTED_PREFILL_WEIGHT;
        let tokens = load.own_prefill_tokens as f64 + others_tokens;
        let reading_ms = self.rates.read_ms(tokens, candidate.pace);
        own_queue_ms.max(reading_ms)
    }
}

/// Returns the cost of an endpoint's health: ejection, silence, lost endpoints of its data centre,
/// failures.
fn health_ms(candidate: &Candidate) -> f64 {
    if candidate.health.trust == Trust::Ejected {
        return EJECTED_MS;
    }
    if candidate.is_silent {
        return SILENT_MS;
    }
    let near_lost_endpoint_ms = if candidate.is_near_lost_endpoint {
        NEAR_LOST_ENDPOINT_MS
    } else {
        0.0
    };
    near_lost_endpoint_ms + candidate.health.failure_share * ALWAYS_FAILING_MS
}

/// Returns the share of an endpoint's slots that `running` requests occupy; above 1 if some wait.
fn occupied_share(candidate: &Candidate, running: u32) -> f64 {
    f64::from(running) / f64::from(candidate.slots.max(1))
}

fn plain_work_ms(candidate: &Candidate) -> f64 {
    occupied_share(candidate, candidate.load.running()) * PLAIN_FULL_MS
}

/// Returns whether an endpoint may be crowded for some request, so that the request's position in
/// its order matters.
pub(crate) fn may_be_crowded(slots: u32, load: LoadSnapshot) -> bool {
    f64::from(load.fleet_running()) > CROWDED_SHARES[0] * f64::from(slots)
}

fn crowded_ms(candidate: &Candidate) -> f64 {
    let occupied_share = occupied_share(candidate, candidate.load.fleet_running());
    let [first, last] = CROWDED_SHARES;
    let crowded_share = first + (last - first) * candidate.order_position;
    let crowding = (occupied_share - crowded_share) / (1.0 - crowded_share);
    crowding.max(0.0) * LAST_SLOT_MS
}
