//! Checks a model call and starts the task that runs it.

use crate::modules::serve::context::Context;
use crate::modules::serve::pools::messages::NamedOffer;
use crate::modules::serve::requests::caller::{identify, read_body};
use crate::modules::serve::requests::chat_format::{AnswerFormat, ModelApi, ModelCall};
use crate::modules::serve::requests::model_request::{self, CallerEvent, ModelRequest};
use crate::modules::serve::requests::refusal::{BadRequest, CallerRefusal};
use crate::modules::serve::requests::targets::LatencyTargets;
use axum::extract::Request;
use bridgevane_types::{RequestFingerprint, Tokens};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

/// The number of characters that is estimated as one prompt token: the usual rule of thumb for
/// English text. Engines count exactly.
const CHARS_PER_TOKEN: u64 = 4;
/// The number of characters in a prefix block: 16 tokens of 4 characters, as the engines split
/// prompts.
const BLOCK_CHARS: usize = 64;
/// The number of prompt tokens in a prefix block: the engines' usual block size.
const BLOCK_TOKENS: u32 = 16;
/// The maximum number of blocks in an offer; of a longer prompt only every n-th block is sent. The
/// first 256 tokens distinguish the prompts of one customer.
const MAX_BLOCKS: usize = 16;

/// Returns hashes of the prompt's prefixes, and the number of tokens that each block stands for. Of
/// a long prompt every n-th block is kept, so that an offer stays small; the hash of a block covers
/// all text up to its end. The step is a power of two, so that prompts of different lengths have
/// the blocks of the larger step in common.
pub fn prefix_blocks(prompt: &str) -> (Vec<u64>, u32) {
    let bytes = prompt.as_bytes();
    let count = bytes.len() / BLOCK_CHARS;
    let step = count.div_ceil(MAX_BLOCKS).max(1).next_power_of_two();
    let hash = |block: usize| xxh3_64(&bytes[..block * BLOCK_CHARS]);
    let blocks = (1..=count / step).map(|at| hash(at * step)).collect();
    (blocks, BLOCK_TOKENS * step as u32)
}

/// Checks a model call and starts its request.
pub(super) async fn start_model(
    context: &Arc<Context>,
    api: ModelApi,
    request: Request,
) -> Result<(AnswerFormat, ModelCall, mpsc::Receiver<CallerEvent>), CallerRefusal> {
    let (head, body) = request.into_parts();
    let caller = identify(context, &head.headers)?;
    let (kind, class) = caller.kind_and_class(&head.headers)?;
    let class_config = caller.class_config(&class)?;
    let (body, body_memory) = read_body(context, caller.request, &head, body).await?;
    let fingerprint = RequestFingerprint::new(
        Some(&caller.customer),
        head.method.as_str(),
        head.uri.path(),
        &body,
    );
    let parsed = ModelCall::parse(api, &body);
    drop(body);
    let mut call = parsed.ok_or_else(|| caller.bad_request(BadRequest::MalformedBody))?;
    let served = caller
        .in_force
        .document
        .service_of_model(call.model.as_str());
    let (service, _) = served.ok_or_else(|| caller.bad_request(BadRequest::UnknownModel))?;
    let prompt = call.take_prompt(api);
    let prompt_tokens = Tokens((prompt.len() as u64).div_ceil(CHARS_PER_TOKEN).max(1));
    let (blocks, block_tokens) = prefix_blocks(&prompt);
    let offer = NamedOffer {
        service: service.clone(),
        request: caller.request,
        class,
        customer: caller.customer.clone(),
        kind,
        prompt_tokens,
        max_tokens: call.max_tokens(context.config.serving.default_max_tokens),
        blocks,
        block_tokens,
        fingerprint: Some(fingerprint),
        is_repeatable: true,
        is_preemptible: true,
    };
    let format = AnswerFormat {
        api,
        request: caller.request,
        model: call.model.clone(),
        created_s: seconds_since_epoch(),
        prompt_tokens,
    };
    let model_request = ModelRequest {
        offer,
        model: call.model.clone(),
        prompt,
        targets: LatencyTargets::of_class(class_config),
        _body_memory: body_memory,
    };
    let answers = model_request::spawn(context.clone(), model_request);
    Ok((format, call, answers))
}

fn seconds_since_epoch() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_secs())
}
