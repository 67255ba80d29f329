//! Which endpoint gets a request: prompt parts that it keeps, work ahead, data centre, trust.

use crate::endpoints::directory::ServiceEndpoints;
use crate::endpoints::endpoint::Endpoint;
use crate::endpoints::health::Trust;
use crate::endpoints::load::LoadNow;
use crate::requests::inbound::Prompt;
use bridgevane_decisions::{EndpointIx, Holders, PrefixCache};
use bridgevane_types::{DataCentreId, TimeMs};
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Prompt tokens that an engine reads in a millisecond.
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 50.0;
/// What each request that runs on an engine adds to the time of others.
const RUNNING_COST_MS: f64 = 1.0;
/// From this share of an engine's slots on it is crowded: once all are taken, requests that
/// are more urgent displace others in the middle of their streams.
const CROWDED_FILL: f64 = 0.6;
/// What the last free slot of an engine costs.
const CROWDED_COST_MS: f64 = 600.0;
/// What a plain request ahead costs, when all slots are taken.
const PLAIN_COST_MS: f64 = 20.0;
/// What going to another data centre costs.
const REMOTE_COST_MS: f64 = 12.0;
/// What an endpoint costs that fails always; one that fails at times costs its share.
const FAILING_COST_MS: f64 = 2_000.0;
/// From here on what speaks against an endpoint goes before what it keeps of prompts.
const UNTRUSTED_COST_MS: f64 = 500.0;
/// What an endpoint costs that is silent while a request waits.
const SILENT_COST_MS: f64 = 4_000.0;
/// How long a plain endpoint may be silent while a request waits.
const PLAIN_SILENCE_MS: f64 = 120.0;
/// The same for an engine, beyond the reading of the prompt.
const ENGINE_SILENCE_MS: f64 = 400.0;
/// What an endpoint costs that gave nothing of late.
const EJECTED_COST_MS: f64 = 20_000.0;
/// Reading a part again that another engine keeps holds up everything else there: it counts
/// so many times.
const REREAD_WEIGHT: f64 = 3.0;
/// How much of the work that other daemons tell counts.
const TOLD_WORK_WEIGHT: f64 = 0.6;
/// The share of what a prefix saves that counts at the endpoints where all daemons would place
/// it, by rank.
const LIKELY_SHARES: [f64; 2] = [0.8, 0.3];
/// What a long prompt costs at an engine that is kept for streams.
const LONG_PROMPT_AMONG_STREAMS_MS: f64 = 300.0;
/// What a stream that bears no pauses costs at an engine that reads long prompts.
const STREAM_AMONG_LONG_PROMPTS_MS: f64 = 100.0;
/// From so many tokens of the answer for one of the prompt on, a request counts as a stream
/// and not as a prompt: tokens of an answer come one after the other, those of a prompt at
/// once.
const STREAM_RATIO: f64 = 0.15;
/// A prompt that an engine reads in about one step holds up nobody: it counts as a stream.
const SHORT_PROMPT_TOKENS: u64 = 2_500;
/// From so many shared tokens on, a prompt is only placed where all daemons would place it: a
/// copy more of what many share costs everyone.
const LARGE_SHARED_TOKENS: u64 = 1_000;
/// Parts of prompts that are remembered.
const MAX_PARTS: usize = 8_192;
/// How long a placed part is believed to be kept.
const PART_MEMORY_MS: u64 = 15_000;

/// What decides on a request.
#[derive(Clone, Copy, Debug)]
pub struct Choice<'a> {
    /// Now.
    pub now: TimeMs,
    /// This daemon's data centre.
    pub data_centre: &'a DataCentreId,
    /// The prompt; empty for plain services.
    pub prompt: &'a Prompt,
    /// Endpoints that it was sent to before.
    pub tried: &'a [Arc<Endpoint>],
}

/// An endpoint with what decided for it.
#[derive(Clone, Debug)]
pub struct Placed {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Prompt tokens that it has to read.
    pub prefill_tokens: u64,
    /// The estimate that was the lowest.
    pub cost_ms: f64,
    /// How long it would wait there before its prompt is read.
    pub queue_ms: f64,
    /// Whether nothing speaks against it.
    pub is_trusted: bool,
}

/// Where prompts were placed.
#[derive(Debug, Default)]
pub struct Placement {
    kept: Mutex<PrefixCache>,
}

impl Placement {
    /// The endpoint with the lowest estimate; none when all were tried.
    pub fn choose(&self, choice: Choice<'_>, service: &ServiceEndpoints) -> Option<Placed> {
        let blocks: Vec<u64> = choice.prompt.parts.iter().map(|part| part.id).collect();
        let kept = self.kept.lock().expect("no panic under this lock");
        let holders = kept.holders_of(choice.now, &blocks, PART_MEMORY_MS);
        drop(kept);
        let estimate = Estimate {
            likely: likely_homes(&choice, service),
            choice,
            holders,
            for_streams: &service.for_streams,
        };
        let untried = service.all.iter().filter(|endpoint| {
            let was_tried = |tried: &Arc<Endpoint>| tried.index == endpoint.index;
            !endpoint.has_expired(choice.now) && !choice.tried.iter().any(was_tried)
        });
        let placed = untried.map(|endpoint| estimate.of(endpoint));
        if !keeps_together(choice.prompt) {
            return cheapest(placed);
        }
        let (home, elsewhere): (Vec<Placed>, Vec<Placed>) =
            placed.partition(|placed| estimate.is_home(placed.endpoint.index) && placed.is_trusted);
        cheapest(home.into_iter()).or_else(|| cheapest(elsewhere.into_iter()))
    }

    /// Notes that an endpoint has read a prompt.
    pub fn read(&self, now: TimeMs, prompt: &Prompt, endpoint: &Endpoint) {
        let mut kept = self.kept.lock().expect("no panic under this lock");
        for part in &prompt.parts {
            kept.stored(now, part.id, endpoint.index, MAX_PARTS);
        }
    }
}

fn cheapest(placed: impl Iterator<Item = Placed>) -> Option<Placed> {
    placed.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
}

/// Whether requests that share parts with this one belong at the same engines.
fn keeps_together(prompt: &Prompt) -> bool {
    prefix_tokens(prompt, shared_parts(prompt)) >= LARGE_SHARED_TOKENS
}

/// Tokens of the first parts of a prompt.
fn prefix_tokens(prompt: &Prompt, parts: usize) -> u64 {
    let kept = prompt.parts.iter().take(parts);
    kept.map(|part| part.tokens.0).sum()
}

/// Parts that other requests may share: the last belongs to the request alone.
fn shared_parts(prompt: &Prompt) -> usize {
    prompt.parts.len().saturating_sub(1)
}

/// Whether the answer takes long and the prompt doesn't: a pause would spoil much.
fn is_stream_like(prompt: &Prompt) -> bool {
    let answer = prompt.max_answer_tokens.0 as f64;
    let is_short = prompt.tokens.0 <= SHORT_PROMPT_TOKENS;
    is_short || answer > STREAM_RATIO * prompt.tokens.0 as f64
}

/// Where all daemons would place a prompt that none has seen, the first choice first:
/// rendezvous hashing by its deepest shared part.
fn likely_homes(
    choice: &Choice<'_>,
    service: &ServiceEndpoints,
) -> [Option<EndpointIx>; LIKELY_SHARES.len()] {
    let mut homes: [Option<(u64, EndpointIx)>; LIKELY_SHARES.len()] = Default::default();
    let shared = shared_parts(choice.prompt);
    let Some(deepest) = shared.checked_sub(1).map(|at| choice.prompt.parts[at].id) else {
        return Default::default();
    };
    let wants_streams = is_stream_like(choice.prompt);
    for endpoint in &service.all {
        let is_for_streams = service.for_streams.contains(&endpoint.index);
        let is_sound =
            endpoint.health.trust(choice.now) == Trust::Sound && !endpoint.has_expired(choice.now);
        if is_for_streams != wants_streams || !is_sound {
            continue;
        }
        let record = endpoint.record.load();
        let weight = xxh3_64_with_seed(record.id.as_str().as_bytes(), deepest);
        let mut next = Some((weight, endpoint.index));
        for home in &mut homes {
            if next > *home {
                std::mem::swap(&mut next, home);
            }
        }
    }
    homes.map(|home| home.map(|(_, index)| index))
}

/// What a request would cost at each endpoint, in milliseconds that it is worth.
struct Estimate<'a> {
    choice: Choice<'a>,
    holders: Holders,
    likely: [Option<EndpointIx>; LIKELY_SHARES.len()],
    for_streams: &'a HashSet<EndpointIx>,
}

impl Estimate<'_> {
    fn is_home(&self, endpoint: EndpointIx) -> bool {
        self.likely.contains(&Some(endpoint))
    }

    fn of(&self, endpoint: &Arc<Endpoint>) -> Placed {
        let prompt = self.choice.prompt;
        let prefill_tokens = prompt
            .tokens
            .0
            .saturating_sub(self.kept_tokens(endpoint.index));
        let load = endpoint.load.now(self.choice.now);
        let record = endpoint.record.load();
        let queue_ms = queue_ms(endpoint, load, self.choice.now);
        let work_ms = if prompt.parts.is_empty() {
            plain_work_ms(load, record.slots)
        } else {
            queue_ms + self.model_work_ms(endpoint.index, record.slots, load, prefill_tokens)
        };
        let is_near = record.data_centre == *self.choice.data_centre;
        let distance_ms = if is_near { 0.0 } else { REMOTE_COST_MS };
        let trust_ms = self.trust_ms(endpoint);
        Placed {
            endpoint: endpoint.clone(),
            prefill_tokens,
            cost_ms: work_ms + distance_ms + trust_ms,
            queue_ms: crowded_queue_ms(queue_ms, load),
            is_trusted: trust_ms < UNTRUSTED_COST_MS,
        }
    }

    /// What speaks against an endpoint: failures, losses, silence.
    fn trust_ms(&self, endpoint: &Endpoint) -> f64 {
        let now = self.choice.now;
        let longest_ms = if self.choice.prompt.parts.is_empty() {
            PLAIN_SILENCE_MS
        } else {
            ENGINE_SILENCE_MS
        };
        if endpoint.health.trust(now) == Trust::Ejected {
            return EJECTED_COST_MS;
        }
        if endpoint.load.is_silent(now, longest_ms) {
            return SILENT_COST_MS;
        }
        endpoint.health.failing_share(now) * FAILING_COST_MS
    }

    /// Tokens of the prompt that an endpoint keeps, as far as this daemon can tell.
    fn kept_tokens(&self, endpoint: EndpointIx) -> u64 {
        let prompt = self.choice.prompt;
        let holder = self.holders.iter().flatten();
        let known = holder.clone().find(|(index, _)| *index == endpoint);
        let known = known.map_or(0, |(_, parts)| prefix_tokens(prompt, *parts as usize));
        let rank = self.likely.iter().position(|home| *home == Some(endpoint));
        let shared = prefix_tokens(prompt, shared_parts(prompt)) as f64;
        let likely = rank.map_or(0.0, |rank| LIKELY_SHARES[rank] * shared);
        known.max(likely as u64)
    }

    fn model_work_ms(
        &self,
        endpoint: EndpointIx,
        slots: u32,
        load: LoadNow,
        prefill_tokens: u64,
    ) -> f64 {
        let prompt = self.choice.prompt;
        let running_ms = f64::from(load.running()) * RUNNING_COST_MS;
        let fill = f64::from(load.running()) / f64::from(slots.max(1));
        let crowd_ms = ((fill - CROWDED_FILL) / (1.0 - CROWDED_FILL)).max(0.0) * CROWDED_COST_MS;
        let shared = prefix_tokens(prompt, shared_parts(prompt));
        let own = prompt.tokens.0 - shared.min(prompt.tokens.0);
        let reread = prefill_tokens.saturating_sub(own) as f64;
        let reading_ms = (own as f64 + reread * REREAD_WEIGHT) / PREFILL_TOKENS_PER_MS;
        let is_for_streams = self.for_streams.contains(&endpoint);
        let apart_ms = match (is_stream_like(prompt), is_for_streams) {
            (true, false) => STREAM_AMONG_LONG_PROMPTS_MS,
            (false, true) => LONG_PROMPT_AMONG_STREAMS_MS,
            _ => 0.0,
        };
        running_ms + crowd_ms + reading_ms + apart_ms
    }
}

/// How long a request would wait: what others were seen to wait, and at least what this
/// daemon itself has sent ahead of it.
fn queue_ms(endpoint: &Endpoint, load: LoadNow, now: TimeMs) -> f64 {
    let ahead_ms = load.own_prefill_tokens as f64 / PREFILL_TOKENS_PER_MS;
    endpoint.load.queue_delay().expected_ms(now).max(ahead_ms)
}

/// The same with what other daemons have sent ahead, as far as they told. They tell rather too
/// much: what they don't know to be kept they count as work.
fn crowded_queue_ms(queue_ms: f64, load: LoadNow) -> f64 {
    let others_tokens = load.others_prefill_tokens as f64 * TOLD_WORK_WEIGHT;
    let ahead_tokens = load.own_prefill_tokens as f64 + others_tokens;
    queue_ms.max(ahead_tokens / PREFILL_TOKENS_PER_MS)
}

fn plain_work_ms(load: LoadNow, slots: u32) -> f64 {
    let ahead = f64::from(load.running()) / f64::from(slots.max(1));
    ahead * PLAIN_COST_MS
}
