//! A model call, from its HTTP request to the task that runs it.

use crate::modules::serve::context::Context;
use crate::modules::serve::pools::messages::NamedOffer;
use crate::modules::serve::requests::caller::{identify, read_body};
use crate::modules::serve::requests::chat_format::{AnswerFormat, ModelCall, Shape};
use crate::modules::serve::requests::model_request::{self, CallerEvent, ModelRequest};
use crate::modules::serve::requests::refusal::{BadRequest, CallerRefusal};
use crate::modules::serve::requests::targets::Targets;
use axum::extract::Request;
use bridgevane_types::{RequestFingerprint, Tokens};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

/// Characters that count as one prompt token before the engine has counted. Not measured, chosen
/// because it is the usual rule of thumb for English text; engines count exactly.
const CHARS_PER_TOKEN: u64 = 4;
/// Characters of a prefix block, as the engines cut prompts. Chosen because it is 16 tokens of 4
/// characters.
const BLOCK_CHARS: usize = 64;
/// Prompt tokens of a prefix block. From the engines' usual block size.
const BLOCK_TOKENS: u32 = 16;
/// Blocks that are sent with an offer at most; a longer prompt is thinned out. Not measured, chosen
/// because the first 256 tokens tell prompts of one customer apart.
const MAX_BLOCKS: usize = 16;

/// Hashes of the prompt's prefixes, and the tokens that one stands for. A long prompt keeps
/// every n-th block, so that an offer stays small; the hash of a block covers all text before
/// its end. The step is a power of two: prompts of unlike lengths meet at the larger one's
/// blocks.
pub fn prefix_blocks(prompt: &str) -> (Vec<u64>, u32) {
    let bytes = prompt.as_bytes();
    let count = bytes.len() / BLOCK_CHARS;
    let step = count.div_ceil(MAX_BLOCKS).max(1).next_power_of_two();
    let hash = |block: usize| xxh3_64(&bytes[..block * BLOCK_CHARS]);
    let blocks = (1..=count / step).map(|at| hash(at * step)).collect();
    (blocks, BLOCK_TOKENS * step as u32)
}

/// Checks a model call and starts it.
pub(super) async fn start_model(
    context: &Arc<Context>,
    shape: Shape,
    request: Request,
) -> Result<(AnswerFormat, ModelCall, mpsc::Receiver<CallerEvent>), CallerRefusal> {
    let (head, body) = request.into_parts();
    let caller = identify(context, &head.headers)?;
    let (kind, class) = caller.kind(&head.headers)?;
    let class_config = caller.class(&class)?;
    let body = read_body(context, caller.request, body).await?;
    let fingerprint = RequestFingerprint::new(
        Some(&caller.customer),
        head.method.as_str(),
        head.uri.path(),
        &body,
    );
    let parsed = ModelCall::parse(shape, &body);
    let call = parsed.ok_or_else(|| caller.bad(BadRequest::MalformedBody))?;
    let served = caller
        .in_force
        .document
        .service_of_model(call.model.as_str());
    let (service, _) = served.ok_or_else(|| caller.bad(BadRequest::UnknownModel))?;
    let prompt = call.prompt_text(shape);
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
        shape,
        request: caller.request,
        model: call.model.clone(),
        created_s: seconds_since_epoch(),
        prompt_tokens,
    };
    let model_request = ModelRequest {
        offer,
        model: call.model.clone(),
        prompt,
        targets: Targets::of_class(class_config),
    };
    let answers = model_request::spawn(context.clone(), model_request);
    Ok((format, call, answers))
}

fn seconds_since_epoch() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_secs())
}
