//! Placement: which endpoint gets a request.
//!
//! Rule: every untried endpoint of the service gets an estimate in milliseconds, and the lowest one
//! wins. For plain requests it is the share of the endpoint's slots that is taken; for prompts the
//! expected queue, the requests that run there, the prompt tokens that it has to read, and whether
//! it is an engine of the right group ([`super::stream_reservation`]). Distance and doubts about
//! the endpoint ([`super::ejection`], [`super::silence`]) are added. A prompt with a long shared
//! prefix goes to its preferred endpoints only, while one of them is trusted
//! ([`super::prompt_affinity`]).
//!
//! Inputs: the prompt, what this daemon saw endpoints read ([`Holders`]), the preferred endpoints,
//! and a `Candidate` for each endpoint. Prompts that other daemons report don't move a request:
//! that was tried and lost (docs/design/14); they lengthen the queue that shedding goes by. The
//! requests that others run do: they fill an engine's slots.
//!
//! Endpoints that cost the same go by [`super::tie_break`]: where there are many more endpoints than requests,
//! most requests are placed by it alone.
//!
//! What another engine keeps of the prompt needn't be read ([`super::cache_fetch`]).
//!
//! All weights are milliseconds of a request's time to first token, or what is worth as much.
//!
//! Measured as a whole: docs/BENCHMARKS.md, "On the users' platform"; single ones where said.
//!
//! Tests: `decisions.rs`, all that place a prompt.

use super::cache_fetch::{self, CacheFetch, CacheSource};
use super::ejection::{HealthSnapshot, Trust};
use super::load_report::LoadSnapshot;
use super::prompt_affinity::{self, PreferredEndpoints};
use super::queue_delay::prefill_ms;
use super::stream_reservation::is_stream_like;
use super::tie_break::TieBreak;
use crate::prompt::Prompt;
use crate::work_by_endpoint::EndpointHash;
use bridgevane_decisions::{EndpointIx, Holders};

/// What each request that runs on an engine adds. Not measured by itself; steps get slower with
/// more requests, and it breaks ties between engines without a queue.
const RUNNING_REQUEST_MS: f64 = 1.0;
/// The share of an engine's slots from which it is crowded, for the first and for the last request in
/// the engine's order of requests. Once all are taken, requests of a higher priority preempt others in
/// the middle of their streams. All daemons see the same reports, and between two of them they would
/// all send to the one engine that is not crowded yet; so some leave it sooner than others. Measured
/// in commit 0c69d1b at 0.6 for all: 12 requests preempted in a seeded day before, none in three runs
/// after. The burst of `decisions.rs` puts 87 streams on an engine of 64 slots at 0.8 for all.
const CROWDED_SHARES: [f64; 2] = [0.6, 0.9];
/// What the last free slot of an engine costs; from the crowded share to full it rises evenly.
/// Measured with that share only (commit 0c69d1b).
const LAST_SLOT_MS: f64 = 600.0;
/// What a plain request costs when all slots are taken. Not measured by itself; chosen because
/// plain requests take about as long at the users' sites.
const PLAIN_FULL_MS: f64 = 20.0;
/// What another data centre costs. Not measured by itself: a round trip is 1 to 3 ms, the rest
/// stands for the price of the bytes. Raised or lowered, sessions stay or move (commit e941a2e).
const REMOTE_MS: f64 = 12.0;
/// What an endpoint costs that always fails; one that fails at times costs its share. Not measured
/// by itself (commit c8e2817): at 0.1 it is 200 ms, more than the reading of most prompts.
const ALWAYS_FAILING_MS: f64 = 2_000.0;
/// From this cost of doubts on an endpoint isn't trusted, and its cached prefixes don't hold a
/// prompt there. It is the cost at the share of failures that [`super::ejection`] calls failing,
/// chosen so.
const UNTRUSTED_MS: f64 = 500.0;
/// What a silent endpoint costs. Not measured, chosen because it must exceed any queue that is
/// admitted, and stay below an ejected one.
const SILENT_MS: f64 = 4_000.0;
/// What an endpoint costs for a request that has found another one of its data centre lost: gone, or its
/// address another's. Endpoints of a data centre go together, and come back with new ids at addresses that
/// old records still name. Not measured by itself: it is [`UNTRUSTED_MS`], so that the request's prompt
/// isn't held there, and less than a silent endpoint.
const BESIDE_LOST_MS: f64 = UNTRUSTED_MS;
/// What an ejected endpoint costs. Not measured, chosen because it must exceed everything else: it
/// gets work only when all are ejected.
const EJECTED_MS: f64 = 20_000.0;
/// Shared tokens that are cached elsewhere count so many times when they are read again: the
/// reading holds up everything else there. Measured against 5: within noise (commit 8f01409,
/// trial); 1 was not tried.
const REREAD_WEIGHT: f64 = 3.0;
/// What a long prompt costs at an engine that is reserved for streams. Not measured by itself
/// (commit e941a2e): the streams there pause while it is read, which takes some 100 to 200 ms.
const LONG_PROMPT_AT_RESERVED_MS: f64 = 300.0;
/// What a stream costs at an engine that reads long prompts. Not measured by itself (commit
/// e941a2e); less than the other way round, since only the one stream pauses.
const STREAM_AT_UNRESERVED_MS: f64 = 100.0;
/// How much of the prompts that other daemons report counts in the queue. Measured in commit
/// cf81c29 and docs/design/14: at 1 too many are shed, since daemons count as work what they don't
/// know to be cached. In trials (docs/arena.md): at 0.6, 0.15 and 0 apie-arena-grown scale days gave
/// 0.662, 0.675, 0.682; apie-arena 0.709, 0.708, 0.708; solcata 0.841, 0.840, 0.838. Kept above 0,
/// since solcata's scale days lose without it.
const REPORTED_PREFILL_WEIGHT: f64 = 0.15;

/// What is known of one endpoint when a request is placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    /// Its index.
    pub(crate) index: EndpointIx,
    /// The name of this life of it, the same on all daemons.
    pub(crate) hash: EndpointHash,
    /// Requests that it runs at once.
    pub(crate) slots: u32,
    /// Whether it is in this daemon's data centre.
    pub(crate) is_local: bool,
    /// Whether it is reserved for streams.
    pub(crate) is_reserved: bool,
    /// Where the request stands in the endpoint's order of requests, from 0 to 1; 0 where nobody asks.
    pub(crate) order: f64,
    /// The load there.
    pub(crate) load: LoadSnapshot,
    /// The queue delay that this daemon's own requests show, in milliseconds.
    pub(crate) observed_queue_ms: f64,
    /// Its health.
    pub(crate) health: HealthSnapshot,
    /// Whether it is silent while a request waits.
    pub(crate) is_silent: bool,
    /// Whether the request has found another endpoint of its data centre lost.
    pub(crate) is_beside_lost: bool,
}

/// Which candidates go first whatever they cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    /// A trusted preferred endpoint of a prompt that keeps to these.
    Preferred,
    /// Any other.
    Other,
}

/// What a request would cost at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    group: Group,
    /// The lowest goes first among equal costs.
    tie_rank: u64,
    /// The cost, in milliseconds.
    pub cost_ms: f64,
    /// Prompt tokens that the endpoint has to read.
    pub prefill_tokens: u64,
    /// What it takes from another engine's cache instead.
    pub fetch: Option<CacheFetch>,
    /// How long the request would wait there before its prompt is read, prompts of other daemons
    /// included, in milliseconds.
    pub queue_ms: f64,
}

/// Picks the candidate with the lowest cost, of equal ones the one with the lowest rank; none when there is
/// none.
pub(crate) fn best<T>(candidates: impl Iterator<Item = (T, Estimate)>) -> Option<(T, Estimate)> {
    candidates.min_by(|(_, a), (_, b)| {
        let by_cost = a.cost_ms.total_cmp(&b.cost_ms);
        let by_rank = a.tie_rank.cmp(&b.tie_rank);
        a.group.cmp(&b.group).then(by_cost).then(by_rank)
    })
}

/// Estimates what one request would cost.
#[derive(Clone, Debug)]
pub(crate) struct Estimator<'a> {
    /// The prompt; empty for plain requests.
    pub(crate) prompt: &'a Prompt,
    /// Endpoints that this daemon saw read the first parts of the prompt.
    pub(crate) holders: Holders,
    /// Where all daemons place prompts with this shared prefix.
    pub(crate) preferred: PreferredEndpoints,
    /// Engines that others may take cached parts of the prompt from.
    pub(crate) sources: Vec<CacheSource>,
    /// How endpoints that cost the same are ordered.
    pub(crate) tie_break: TieBreak,
}

impl Estimator<'_> {
    /// The estimate for one endpoint.
    pub(crate) fn estimate(&self, candidate: &Candidate) -> Estimate {
        let cached_tokens = self.cached_tokens(candidate.index);
        let fetch = cache_fetch::choose(candidate.index, cached_tokens, &self.sources);
        let fetched_tokens = fetch.map_or(0, |fetch| fetch.tokens);
        let prefill_tokens = self.prompt.tokens.0;
        let prefill_tokens = prefill_tokens.saturating_sub(cached_tokens + fetched_tokens);
        let queue_ms = own_queue_ms(candidate);
        let work_ms = if self.prompt.is_empty() {
            plain_work_ms(candidate)
        } else {
            let fetch_ms = fetch.map_or(0.0, CacheFetch::duration_ms);
            queue_ms + fetch_ms * REREAD_WEIGHT + self.model_work_ms(candidate, prefill_tokens)
        };
        let distance_ms = if candidate.is_local { 0.0 } else { REMOTE_MS };
        let doubt_ms = doubt_ms(candidate);
        Estimate {
            group: self.group(candidate, doubt_ms),
            tie_rank: self.tie_break.rank(candidate.hash),
            cost_ms: work_ms + distance_ms + doubt_ms,
            prefill_tokens,
            fetch,
            queue_ms: fleet_queue_ms(queue_ms, candidate.load),
        }
    }

    fn group(&self, candidate: &Candidate, doubt_ms: f64) -> Group {
        let is_trusted = doubt_ms < UNTRUSTED_MS;
        let is_preferred = self.preferred.contains(candidate.index);
        if prompt_affinity::is_exclusive(self.prompt) && is_preferred && is_trusted {
            Group::Preferred
        } else {
            Group::Other
        }
    }

    /// Tokens of the prompt in an endpoint's prefix cache, as far as this daemon can tell.
    pub(crate) fn cached_tokens(&self, endpoint: EndpointIx) -> u64 {
        let mut holders = self.holders.iter().flatten();
        let seen = holders.find(|(holder, _)| *holder == endpoint);
        let seen_tokens = seen.map_or(0, |(_, parts)| self.prompt.prefix_tokens(*parts as usize));
        let likely_tokens = self.preferred.likely_cached_tokens(endpoint, self.prompt);
        seen_tokens.max(likely_tokens)
    }

    fn model_work_ms(&self, candidate: &Candidate, prefill_tokens: u64) -> f64 {
        let running_ms = f64::from(candidate.load.fleet_running()) * RUNNING_REQUEST_MS;
        let shared_tokens = self.prompt.shared_tokens().min(self.prompt.tokens.0);
        let own_tokens = self.prompt.tokens.0 - shared_tokens;
        let reread_tokens = prefill_tokens.saturating_sub(own_tokens) as f64;
        let reading_ms = prefill_ms(own_tokens as f64 + reread_tokens * REREAD_WEIGHT);
        running_ms + crowded_ms(candidate) + reading_ms + self.wrong_group_ms(candidate)
    }

    fn wrong_group_ms(&self, candidate: &Candidate) -> f64 {
        match (is_stream_like(self.prompt), candidate.is_reserved) {
            (true, false) => STREAM_AT_UNRESERVED_MS,
            (false, true) => LONG_PROMPT_AT_RESERVED_MS,
            _ => 0.0,
        }
    }
}

/// What speaks against an endpoint: ejection, silence, lost neighbours, failures.
fn doubt_ms(candidate: &Candidate) -> f64 {
    if candidate.health.trust == Trust::Ejected {
        return EJECTED_MS;
    }
    if candidate.is_silent {
        return SILENT_MS;
    }
    let beside_lost_ms = if candidate.is_beside_lost {
        BESIDE_LOST_MS
    } else {
        0.0
    };
    beside_lost_ms + candidate.health.failure_share * ALWAYS_FAILING_MS
}

/// The share of an endpoint's slots that so many requests take; above 1 when some wait.
fn taken_share(candidate: &Candidate, running: u32) -> f64 {
    f64::from(running) / f64::from(candidate.slots.max(1))
}

fn plain_work_ms(candidate: &Candidate) -> f64 {
    taken_share(candidate, candidate.load.running()) * PLAIN_FULL_MS
}

/// Whether an endpoint may be crowded for some request, so that the request's place in its order counts.
pub(crate) fn may_be_crowded(slots: u32, load: LoadSnapshot) -> bool {
    f64::from(load.fleet_running()) > CROWDED_SHARES[0] * f64::from(slots)
}

fn crowded_ms(candidate: &Candidate) -> f64 {
    let taken_share = taken_share(candidate, candidate.load.fleet_running());
    let [first, last] = CROWDED_SHARES;
    let crowded_share = first + (last - first) * candidate.order;
    let crowding = (taken_share - crowded_share) / (1.0 - crowded_share);
    crowding.max(0.0) * LAST_SLOT_MS
}

/// The queue that this daemon knows of itself: what its requests waited lately, and at least the
/// prompts that it has sent and that were not read yet.
fn own_queue_ms(candidate: &Candidate) -> f64 {
    let sent_ms = prefill_ms(candidate.load.own_prefill_tokens as f64);
    candidate.observed_queue_ms.max(sent_ms)
}

/// The same with the prompts that other daemons report.
fn fleet_queue_ms(own_queue_ms: f64, load: LoadSnapshot) -> f64 {
    let others_tokens = load.others_prefill_tokens as f64 * REPORTED_PREFILL_WEIGHT;
    let tokens = load.own_prefill_tokens as f64 + others_tokens;
    own_queue_ms.max(prefill_ms(tokens))
}
