//! The OpenAI-style JSON formats of model calls and answers.

use crate::modules::serve::requests::prompt_text::PromptText;
use bridgevane_adapters::EndReason;
use bridgevane_types::{ModelName, RequestId, Tokens};
use serde::Deserialize;
use serde_json::{Value, json};

/// The API that a model call uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ModelApi {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

/// The fields of a model call that the router reads. Other fields are ignored.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ModelCall {
    /// The requested model.
    pub model: ModelName,
    /// The messages of a chat completion.
    #[serde(default)]
    messages: Vec<Message>,
    /// The prompt of a completion.
    #[serde(default)]
    prompt: Option<PromptText>,
    /// Whether the answer is streamed; absent: no.
    #[serde(default)]
    pub stream: Option<bool>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
}

#[derive(Clone, Debug, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Clone, Debug, Deserialize)]
struct Message {
    role: String,
    #[serde(default)]
    content: PromptText,
}

impl ModelCall {
    /// Parses a request body; `None` when it isn't a call of this API.
    pub fn parse(api: ModelApi, body: &[u8]) -> Option<Self> {
        let call: Self = serde_json::from_slice(body).ok()?;
        let has_input = match api {
            ModelApi::Chat => !call.messages.is_empty(),
            ModelApi::Completion => call.prompt.is_some(),
        };
        has_input.then_some(call)
    }

    /// Takes the prompt out of the call, as one text.
    pub(crate) fn take_prompt(&mut self, api: ModelApi) -> String {
        match api {
            // `parse` refuses a completion without a prompt.
            ModelApi::Completion => self.prompt.take().unwrap_or_default().into(),
            ModelApi::Chat => {
                let line = |message: Message| format!("{}: {}\n", message.role, message.content);
                self.messages.drain(..).map(line).collect()
            }
        }
    }

    /// Returns the maximum length of the answer, by default `default_tokens`.
    pub fn max_tokens(&self, default_tokens: u64) -> Tokens {
        let requested = self.max_completion_tokens.or(self.max_tokens);
        Tokens(requested.unwrap_or(default_tokens).max(1))
    }

    /// Whether the answer is streamed.
    pub(crate) fn is_streaming(&self) -> bool {
        self.stream.unwrap_or(false)
    }

    /// Whether a streamed answer ends with a usage chunk.
    pub(crate) fn includes_usage(&self) -> bool {
        self.stream_options
            .as_ref()
            .is_some_and(|options| options.include_usage)
    }
}

/// Formats the answers to one model call.
#[derive(Clone, Debug)]
pub(crate) struct AnswerFormat {
    /// The API of the call.
    pub api: ModelApi,
    /// The request's id, sent as the answer's `id`.
    pub request: RequestId,
    /// The model's name as the caller sent it.
    pub model: ModelName,
    /// Creation time of the answer, in seconds since 1970.
    pub created_s: u64,
    /// The estimated length of the prompt, sent in the answer's `usage`.
    pub prompt_tokens: Tokens,
}

impl AnswerFormat {
    fn object(&self, is_chunk: bool) -> &'static str {
        match (self.api, is_chunk) {
            (ModelApi::Chat, true) => "chat.completion.chunk",
            (ModelApi::Chat, false) => "chat.completion",
            (ModelApi::Completion, _) => "text_completion",
        }
    }

    fn envelope(&self, is_chunk: bool, choices: Value) -> Value {
        json!({
            "id": self.request.to_string(),
            "object": self.object(is_chunk),
            "created": self.created_s,
            "model": self.model,
            "choices": choices,
        })
    }

    fn usage(&self, tokens: Tokens) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": self.prompt_tokens + tokens,
        })
    }

    /// Returns one chunk of a streamed answer.
    pub fn chunk(&self, text: &str, is_first: bool) -> Value {
        let choice = match self.api {
            ModelApi::Chat if is_first => {
                json!({ "index": 0, "delta": { "role": "assistant", "content": text }, "finish_reason": null })
            }
            ModelApi::Chat => {
                json!({ "index": 0, "delta": { "content": text }, "finish_reason": null })
            }
            ModelApi::Completion => json!({ "index": 0, "text": text, "finish_reason": null }),
        };
        self.envelope(true, json!([choice]))
    }

    /// Returns the chunk of a streamed answer that carries the finish reason.
    pub(crate) fn finish_chunk(&self, reason: EndReason) -> Value {
        let reason = reason.to_string();
        let choice = match self.api {
            ModelApi::Chat => json!({ "index": 0, "delta": {}, "finish_reason": reason }),
            ModelApi::Completion => json!({ "index": 0, "text": "", "finish_reason": reason }),
        };
        self.envelope(true, json!([choice]))
    }

    /// Returns the usage chunk at the end of a streamed answer.
    pub(crate) fn usage_chunk(&self, tokens: Tokens) -> Value {
        let mut chunk = self.envelope(true, json!([]));
        chunk["usage"] = self.usage(tokens);
        chunk
    }

    /// Returns the complete answer of a call that isn't streamed.
    pub fn complete_answer(&self, text: &str, reason: EndReason, tokens: Tokens) -> Value {
        let reason = reason.to_string();
        let choice = match self.api {
            ModelApi::Chat => json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": reason,
            }),
            ModelApi::Completion => json!({ "index": 0, "text": text, "finish_reason": reason }),
        };
        let mut answer = self.envelope(false, json!([choice]));
        answer["usage"] = self.usage(tokens);
        answer
    }
}
