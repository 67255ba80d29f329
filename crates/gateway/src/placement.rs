//! Which endpoint gets a request: prompt parts that it keeps, work ahead, data centre, trust.

use crate::directory::Endpoint;
use crate::health::Trust;
use crate::load::LoadNow;
use crate::request::Prompt;
use bridgevane_decisions::PrefixCache;
use bridgevane_types::{DataCentreId, TimeMs};
use std::sync::{Arc, Mutex};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Prompt tokens that an engine reads in a millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 50.0;
/// What each request that runs on an engine adds to the time of others.
const RUNNING_COST_MS: f64 = 1.0;
/// What a request of others that waits has ahead of it.
const WAITING_COST_MS: f64 = 60.0;
/// What a plain request ahead costs, when all slots are taken.
const PLAIN_COST_MS: f64 = 20.0;
/// What going to another data centre costs.
const REMOTE_COST_MS: f64 = 30.0;
/// What an endpoint that fails often costs.
const FAILING_COST_MS: f64 = 2_000.0;
/// What an endpoint costs that gave nothing of late.
const EJECTED_COST_MS: f64 = 20_000.0;
/// The share of what a prefix saves that counts when it is only likely to be there.
const LIKELY_SHARE: f64 = 0.6;
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
}

/// Where prompts were placed.
#[derive(Debug, Default)]
pub struct Placement {
    kept: Mutex<PrefixCache>,
}

impl Placement {
    /// The endpoint with the lowest estimate; none when all were tried.
    pub fn choose(&self, choice: Choice<'_>, endpoints: &[Arc<Endpoint>]) -> Option<Placed> {
        let blocks: Vec<u64> = choice.prompt.parts.iter().map(|part| part.id).collect();
        let kept = self.kept.lock().expect("no panic under this lock");
        let holders = kept.holders_of(choice.now, &blocks, PART_MEMORY_MS);
        drop(kept);
        let is_known = holders.iter().any(Option::is_some);
        let likely = (!is_known)
            .then(|| likely_home(&choice, endpoints))
            .flatten();
        let untried = endpoints.iter().filter(|endpoint| {
            let was_tried = |tried: &Arc<Endpoint>| tried.index == endpoint.index;
            !choice.tried.iter().any(was_tried)
        });
        let placed = untried.map(|endpoint| {
            let parts = holders
                .iter()
                .flatten()
                .find(|(index, _)| *index == endpoint.index)
                .map_or(0, |(_, parts)| *parts as usize);
            let kept_tokens = prefix_tokens(choice.prompt, parts);
            let prefill_tokens = choice.prompt.tokens.0.saturating_sub(kept_tokens);
            let is_likely = likely == Some(endpoint.index);
            let cost_ms = cost_ms(&choice, endpoint, prefill_tokens, is_likely);
            Placed {
                endpoint: endpoint.clone(),
                prefill_tokens,
                cost_ms,
            }
        });
        placed.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
    }

    /// Notes that an endpoint has read a prompt.
    pub fn read(&self, now: TimeMs, prompt: &Prompt, endpoint: &Endpoint) {
        let mut kept = self.kept.lock().expect("no panic under this lock");
        for part in &prompt.parts {
            kept.stored(now, part.id, endpoint.index, MAX_PARTS);
        }
    }
}

fn prefix_tokens(prompt: &Prompt, parts: usize) -> u64 {
    let kept = prompt.parts.iter().take(parts);
    kept.map(|part| part.tokens.0).sum()
}

/// The deepest part that others may share: the last belongs to the request alone.
fn shared_part(prompt: &Prompt) -> Option<u64> {
    let shared = prompt.parts.len().checked_sub(2)?;
    prompt.parts.get(shared).map(|part| part.id)
}

/// Where all daemons of a data centre would place a prompt that none has seen: rendezvous
/// hashing over the endpoints there.
fn likely_home(
    choice: &Choice<'_>,
    endpoints: &[Arc<Endpoint>],
) -> Option<bridgevane_decisions::EngineIx> {
    let part = shared_part(choice.prompt)?;
    let near = endpoints.iter().filter(|endpoint| {
        let record = endpoint.record.load();
        record.data_centre == *choice.data_centre
    });
    let sound = near.filter(|endpoint| endpoint.health.trust(choice.now) == Trust::Sound);
    let weight = |endpoint: &&Arc<Endpoint>| {
        let record = endpoint.record.load();
        xxh3_64_with_seed(record.id.as_str().as_bytes(), part)
    };
    sound.max_by_key(weight).map(|endpoint| endpoint.index)
}

fn cost_ms(choice: &Choice<'_>, endpoint: &Endpoint, prefill_tokens: u64, is_likely: bool) -> f64 {
    let load = endpoint.load.now(choice.now);
    let record = endpoint.record.load();
    let work_ms = if choice.prompt.parts.is_empty() {
        plain_work_ms(load, record.slots)
    } else {
        let saved = if is_likely {
            LIKELY_SHARE * prefix_tokens(choice.prompt, choice.prompt.parts.len() - 1) as f64
        } else {
            0.0
        };
        model_work_ms(load, prefill_tokens as f64 - saved)
    };
    let is_near = record.data_centre == *choice.data_centre;
    let distance_ms = if is_near { 0.0 } else { REMOTE_COST_MS };
    let trust_ms = match endpoint.health.trust(choice.now) {
        Trust::Sound => 0.0,
        Trust::Failing => FAILING_COST_MS,
        Trust::Ejected => EJECTED_COST_MS,
    };
    work_ms + distance_ms + trust_ms
}

fn plain_work_ms(load: LoadNow, slots: u32) -> f64 {
    let ahead = f64::from(load.running()) / f64::from(slots.max(1));
    ahead * PLAIN_COST_MS
}

fn model_work_ms(load: LoadNow, prefill_tokens: f64) -> f64 {
    let ahead = load.own_prefill_tokens as f64 / PREFILL_TOKENS_PER_MS;
    let waiting = f64::from(load.others_waiting) * WAITING_COST_MS;
    let running = f64::from(load.running()) * RUNNING_COST_MS;
    ahead + waiting + running + prefill_tokens / PREFILL_TOKENS_PER_MS
}
