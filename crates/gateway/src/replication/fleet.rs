//! How many daemons there are.

use bridgevane_types::{DurationMs, TimeMs};

/// How long the largest number that was heard counts: daemons that are cut off still live.
const MEMORY: DurationMs = DurationMs(30_000);

/// The number of daemons, as far as one of them knows: rather too many than too few.
#[derive(Debug, Default)]
pub struct FleetSize {
    largest: u32,
    heard_at: TimeMs,
}

impl FleetSize {
    /// A number was heard.
    pub fn note(&mut self, now: TimeMs, daemons: u32) {
        let is_forgotten = now.since(self.heard_at) >= MEMORY;
        if daemons >= self.largest || (is_forgotten && daemons > 0) {
            self.largest = daemons;
            self.heard_at = now;
        }
    }

    /// The number; none when nothing was heard yet.
    pub fn daemons(&self) -> Option<u32> {
        (self.largest > 0).then_some(self.largest)
    }
}
