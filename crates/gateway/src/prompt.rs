//! What is known of a prompt: its parts and sizes, never its text.
//!
//! Callers name the parts in order. All parts but the last may be shared with other requests (a
//! system prompt, a pupil's history); the last belongs to the request alone. An engine that keeps
//! the first parts in its prefix cache reads only the rest.

use bridgevane_types::Tokens;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// A hash of the part's name.
    pub id: u64,
    /// Its size.
    pub tokens: Tokens,
}

/// A prompt; plain requests have an empty one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Its parts, in order.
    pub parts: Vec<PromptPart>,
    /// Tokens of the whole prompt.
    pub tokens: Tokens,
    /// The most tokens that its answer may have.
    pub max_answer_tokens: Tokens,
}

impl Prompt {
    /// Whether the request has no prompt: it goes to a plain endpoint.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Tokens of the first `parts` parts.
    pub(crate) fn prefix_tokens(&self, parts: usize) -> u64 {
        let prefix = self.parts.iter().take(parts);
        prefix.map(|part| part.tokens.0).sum()
    }

    /// How many parts other requests may share.
    fn shared_parts(&self) -> usize {
        self.parts.len().saturating_sub(1)
    }

    /// Tokens that other requests may share.
    pub(crate) fn shared_tokens(&self) -> u64 {
        self.prefix_tokens(self.shared_parts())
    }

    /// The identifier of the last part that other requests may share: it stands for the whole
    /// shared prefix. None when the prompt shares nothing.
    pub(crate) fn shared_prefix_id(&self) -> Option<u64> {
        let last = self.shared_parts().checked_sub(1)?;
        Some(self.parts[last].id)
    }
}
