//! The description of a prompt: its parts and their sizes, never its text.
//!
//! Clients list the parts in order. All parts except the last may be shared with other requests (a
//! system prompt, a pupil's history); the last belongs to this request only. An engine that has the
//! first parts in its prefix cache prefills only the rest.

use bridgevane_types::Tokens;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// A hash of the part's name.
    pub id: u64,
    /// Its size.
    pub tokens: Tokens,
}

/// The description of a prompt, empty for plain requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Its parts, in order.
    pub parts: Vec<PromptPart>,
    /// The number of tokens of the whole prompt.
    pub tokens: Tokens,
    /// The maximum number of tokens of the answer.
    pub max_answer_tokens: Tokens,
}

impl Prompt {
    /// Returns whether the request has no prompt, so that it goes to a plain endpoint.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the number of tokens of the first `parts` parts.
    pub(crate) fn prefix_tokens(&self, parts: usize) -> u64 {
        let prefix = self.parts.iter().take(parts);
        prefix.map(|part| part.tokens.0).sum()
    }

    /// Returns the number of parts that other requests may share.
    fn shared_parts(&self) -> usize {
        self.parts.len().saturating_sub(1)
    }

    /// Returns the parts that other requests may share.
    pub(crate) fn shared(&self) -> &[PromptPart] {
        &self.parts[..self.shared_parts()]
    }

    /// Returns the number of tokens that other requests may share.
    pub(crate) fn shared_tokens(&self) -> u64 {
        self.prefix_tokens(self.shared_parts())
    }

    /// Returns the number of tokens that belong to this request alone.
    pub(crate) fn own_tokens(&self) -> u64 {
        self.tokens.0.saturating_sub(self.shared_tokens())
    }

    /// Returns the identifier of the last part that other requests may share, which identifies the
    /// whole shared prefix; `None` if no part may be shared.
    pub(crate) fn shared_prefix_id(&self) -> Option<u64> {
        let last = self.shared_parts().checked_sub(1)?;
        Some(self.parts[last].id)
    }
}
