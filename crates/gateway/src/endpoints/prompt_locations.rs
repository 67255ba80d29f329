//! Prompt locations: which engines this daemon saw read which parts of prompts.
//!
//! Owns a bounded index behind a lock. An entry is a hint that the part is in the engine's prefix
//! cache; it expires, since the engine evicts unused parts.

use crate::prompt::Prompt;
use bridgevane_decisions::{EndpointIx, Holders, PrefixCache};
use bridgevane_types::TimeMs;
use std::sync::{Mutex, MutexGuard};

/// The maximum number of parts of prompts in the index: it bounds the index to about 1.4 MB (172
/// bytes an entry).
const MAX_PARTS: usize = 8_192;
/// How long a part counts as cached after an engine read it, in milliseconds. Twice as long would
/// count evicted parts, half would forget sessions that pause.
const PART_TTL_MS: u64 = 15_000;

/// The engines that read each part of a prompt.
#[derive(Debug, Default)]
pub struct PromptLocations {
    parts: Mutex<PrefixCache>,
}

impl PromptLocations {
    fn parts(&self) -> MutexGuard<'_, PrefixCache> {
        self.parts.lock().expect("no panic under this lock")
    }

    /// Returns the endpoints that read the longest prefixes of a prompt, with the number of parts
    /// each.
    pub(crate) fn holders(&self, now: TimeMs, prompt: &Prompt) -> Holders {
        let parts: Vec<u64> = prompt.parts.iter().map(|part| part.id).collect();
        self.parts().holders_of(now, &parts, PART_TTL_MS)
    }

    /// Records that an endpoint has read a prompt.
    pub(crate) fn on_read(&self, now: TimeMs, prompt: &Prompt, endpoint: EndpointIx) {
        let mut known = self.parts();
        for part in &prompt.parts {
            known.record_stored(now, part.id, endpoint, MAX_PARTS);
        }
    }
}
