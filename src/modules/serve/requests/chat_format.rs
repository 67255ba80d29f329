//! The OpenAI-style shapes of model calls and answers.

use bridgevane_adapters::EndReason;
use bridgevane_types::{ModelName, RequestId, Tokens};
use serde::Deserialize;
use serde_json::{Value, json};

/// Which of the two calls it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shape {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

/// The fields of a call that the router reads. Others are ignored.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ModelCall {
    /// The model.
    pub model: ModelName,
    /// Chat messages.
    #[serde(default)]
    messages: Vec<Message>,
    /// Prompt of a completion.
    #[serde(default)]
    prompt: Option<Value>,
    /// Whether pieces are sent as they come.
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
    content: Value,
}

/// The text of a content, which is a string or a list of parts.
fn text_of(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts
            .iter()
            .map(|part| part.get("text").map_or_else(|| text_of(part), text_of))
            .collect(),
        _ => String::new(),
    }
}

impl ModelCall {
    /// Reads a body; none when it isn't such a call.
    pub fn parse(shape: Shape, body: &[u8]) -> Option<Self> {
        let call: Self = serde_json::from_slice(body).ok()?;
        let has_input = match shape {
            Shape::Chat => !call.messages.is_empty(),
            Shape::Completion => call.prompt.is_some(),
        };
        has_input.then_some(call)
    }

    /// The prompt as one text.
    pub(crate) fn prompt_text(&self, shape: Shape) -> String {
        match shape {
            // A completion without a prompt begins from nothing, as the API allows.
            Shape::Completion => self.prompt.as_ref().map(text_of).unwrap_or_default(),
            Shape::Chat => {
                let line = |message: &Message| {
                    format!("{}: {}\n", message.role, text_of(&message.content))
                };
                self.messages.iter().map(line).collect()
            }
        }
    }

    /// The longest answer that the caller asks for.
    pub fn max_tokens(&self, default_tokens: u64) -> Tokens {
        let asked = self.max_completion_tokens.or(self.max_tokens);
        Tokens(asked.unwrap_or(default_tokens).max(1))
    }

    /// Whether pieces are sent as they come.
    pub(crate) fn is_streaming(&self) -> bool {
        self.stream.unwrap_or(false)
    }

    /// Whether a streamed answer ends with its usage.
    pub(crate) fn includes_usage(&self) -> bool {
        self.stream_options
            .as_ref()
            .is_some_and(|options| options.include_usage)
    }
}

/// Writes answers of one call.
#[derive(Clone, Debug)]
pub(crate) struct AnswerFormat {
    /// The call's shape.
    pub shape: Shape,
    /// The request.
    pub request: RequestId,
    /// The model.
    pub model: ModelName,
    /// Seconds since 1970.
    pub created_s: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
}

impl AnswerFormat {
    fn object(&self, is_piece: bool) -> &'static str {
        match (self.shape, is_piece) {
            (Shape::Chat, true) => "chat.completion.chunk",
            (Shape::Chat, false) => "chat.completion",
            (Shape::Completion, _) => "text_completion",
        }
    }

    fn envelope(&self, is_piece: bool, choices: Value) -> Value {
        json!({
            "id": self.request.to_string(),
            "object": self.object(is_piece),
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

    /// One piece of a streamed answer.
    pub fn piece(&self, text: &str, is_first: bool) -> Value {
        let choice = match self.shape {
            Shape::Chat if is_first => {
                json!({ "index": 0, "delta": { "role": "assistant", "content": text }, "finish_reason": null })
            }
            Shape::Chat => {
                json!({ "index": 0, "delta": { "content": text }, "finish_reason": null })
            }
            Shape::Completion => json!({ "index": 0, "text": text, "finish_reason": null }),
        };
        self.envelope(true, json!([choice]))
    }

    /// The last piece of a streamed answer.
    pub(crate) fn last_piece(&self, reason: EndReason) -> Value {
        let reason = reason.to_string();
        let choice = match self.shape {
            Shape::Chat => json!({ "index": 0, "delta": {}, "finish_reason": reason }),
            Shape::Completion => json!({ "index": 0, "text": "", "finish_reason": reason }),
        };
        self.envelope(true, json!([choice]))
    }

    /// The usage at the end of a streamed answer.
    pub(crate) fn usage_piece(&self, tokens: Tokens) -> Value {
        let mut piece = self.envelope(true, json!([]));
        piece["usage"] = self.usage(tokens);
        piece
    }

    /// A whole answer.
    pub fn whole(&self, text: &str, reason: EndReason, tokens: Tokens) -> Value {
        let reason = reason.to_string();
        let choice = match self.shape {
            Shape::Chat => json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": reason,
            }),
            Shape::Completion => json!({ "index": 0, "text": text, "finish_reason": reason }),
        };
        let mut whole = self.envelope(false, json!([choice]));
        whole["usage"] = self.usage(tokens);
        whole
    }
}
