//! Source pacing: when a daemon may ask the control source.
//!
//! Inputs: whether the daemon is a seed, how many daemons there are, whether another daemon answers,
//! and what became of earlier calls.
//!
//! Rules: a seed asks whenever the source answers, at once after a first failure, which may have been
//! the connection's alone, and then in pauses that double up to `MAX_SEED_PAUSE`. Any other daemon asks
//! only when it has found no daemon to follow:
//! - one that lost its parent, within `ORPHAN_SPREAD`: those below it wait for it;
//! - while its parent answers, but has nothing new either, all daemons together ask
//!   `FLEET_CALLS_PER_S` times a second: whoever succeeds passes it on to the others.
//!
//! Reason: the source bears a few callers, not one for each daemon, and never all in one second. Few
//! daemons lose their parents at once, since a tree has few daemons near its root; one that is cut off
//! from all others has nobody to ask for it.
//!
//! Measured: 116 to 295 daemons asked in the same second before (large site); docs/design/15.
//!
//! Tests: `upstream.rs::…the_source…`, `follow_tree.rs`.

use super::proof_limits::ProofLimits;
use bridgevane_types::{DurationMs, TimeMs};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The first pause between calls of a source that doesn't answer; it doubles. Not measured; half as
/// long would double the calls that seeds make in an outage.
const FIRST_PAUSE: DurationMs = DurationMs(700);
/// The longest pause of a daemon that is no seed. Not measured, chosen because proofs last 4.7 s by
/// default: the source is asked at least once before they end.
const MAX_PAUSE: DurationMs = DurationMs(2_800);
/// The longest pause of a seed. Not measured, chosen because what changed in an outage must be in force
/// everywhere 3 s after the source is back (the users' contact bound), also on daemons that served on
/// meanwhile: a second until a seed asks, the rest for its reading and the ways down the tree.
const MAX_SEED_PAUSE: DurationMs = DurationMs(1_000);
/// The pause after an answer of the source to a daemon that is no seed, as a share of the age at which a
/// proof's followers leave. Not measured by itself, chosen because the rest must do for a slow source
/// (0.24 s at the users' sites) and the way down the tree.
const POLL_SHARE: f64 = 0.7;
/// Calls a second of all daemons whose parents answer, but have nothing new. Not measured by itself,
/// chosen because one success in some 30 ms is soon enough beside the second and more that a proof
/// still lasts then, and an outage of a minute costs no more than 1,800 calls at any size.
const FLEET_CALLS_PER_S: f64 = 30.0;
/// Daemons that lost their parents ask within so long. Not measured, chosen because it is a tenth of what
/// a proof lasts.
const ORPHAN_SPREAD: DurationMs = DurationMs(400);
/// How many daemons there are where nobody has said. Not measured, chosen between the users' smallest
/// and largest fleets.
const UNKNOWN_FLEET_SIZE: u32 = 100;

/// Seeds beyond this one wait no longer than it. Not measured, chosen because a source that falls silent
/// is noticed after the wait and a second more: 2.5 s of the 4.7 s that proofs last.
const MAX_WAITING_SEEDS: u64 = 3;

/// How long one wait for changes lasts at the source, where proofs should come every `watch_wait`.
///
/// Seeds tell each other their proofs: the first of those that live waits so long, the second twice, the
/// third three times as long. Waits of three times as long for all were tried: a change wakes all seeds at
/// once, so that they wait in step, and the fleet's proofs were up to 3 s old (large site, quiet day: 109
/// calls, 0.05 of requests refused).
///
/// An answer is needed at once by a daemon that is no seed, since it asks in place of a parent whose proof
/// is old, and by one that got none to its last call: an open connection may have fallen silent for good.
pub fn watch_wait(watch_wait: DurationMs, caller: SourceCaller) -> DurationMs {
    if !caller.is_seed || caller.has_failed {
        return DurationMs(0);
    }
    let place = (caller.seeds_before as u64 + 1).min(MAX_WAITING_SEEDS);
    DurationMs(watch_wait.0 * place)
}

/// A daemon that asks the source for changes.
#[derive(Clone, Copy, Debug)]
pub struct SourceCaller {
    /// It follows the source as long as that answers.
    pub is_seed: bool,
    /// The source did not answer its last call.
    pub has_failed: bool,
    /// Live seeds that go before this one.
    pub seeds_before: usize,
}

/// When the source may be asked.
#[derive(Debug)]
pub(super) struct SourcePacing {
    own: SocketAddr,
    is_seed: bool,
    fleet_size: Option<u32>,
    not_before: TimeMs,
    /// The same as it was before another daemon was adopted.
    not_before_adoption: TimeMs,
    /// The last call failed.
    has_failed: bool,
    /// The next pause after a failure.
    pause: DurationMs,
    /// The pause after an answer to a daemon that is no seed: others may follow it, and must not leave
    /// it meanwhile.
    poll_pause: DurationMs,
}

impl SourcePacing {
    pub(super) fn new(own: SocketAddr, is_seed: bool, limits: ProofLimits) -> Self {
        Self {
            own,
            is_seed,
            fleet_size: None,
            not_before: TimeMs(0),
            not_before_adoption: TimeMs(0),
            has_failed: false,
            pause: FIRST_PAUSE,
            poll_pause: DurationMs((limits.leave_from.0 as f64 * POLL_SHARE) as u64),
        }
    }

    /// When the source may be asked next.
    pub(super) fn not_before(&self) -> TimeMs {
        self.not_before
    }

    pub(super) fn may_ask(&self, now: TimeMs) -> bool {
        now >= self.not_before
    }

    pub(super) fn on_fleet_size(&mut self, daemons: u32) {
        if daemons > 0 {
            self.fleet_size = Some(daemons);
        }
    }

    pub(super) fn on_answered(&mut self, now: TimeMs) {
        self.pause = FIRST_PAUSE;
        self.has_failed = false;
        self.not_before = if self.is_seed {
            now
        } else {
            now + self.poll_pause
        };
    }

    pub(super) fn on_failed(&mut self, now: TimeMs, do_others_answer: bool) {
        let is_first = !std::mem::replace(&mut self.has_failed, true);
        if self.is_seed && is_first {
            self.not_before = now;
            return;
        }
        let mut pause = self.pause;
        if do_others_answer && !self.is_seed {
            pause = pause.max(self.spread());
        }
        self.not_before = now + pause;
        let longest = if self.is_seed {
            MAX_SEED_PAUSE
        } else {
            MAX_PAUSE
        };
        self.pause = DurationMs(self.pause.0 * 2).min(longest);
    }

    /// Another daemon is followed now: it is asked before the source is again.
    pub(super) fn on_adopted(&mut self, now: TimeMs) {
        self.not_before_adoption = self.not_before;
        self.not_before = self.not_before.max(now + FIRST_PAUSE);
    }

    /// The daemon that was adopted last never answered: the source may be asked as if it hadn't been.
    pub(super) fn on_adoption_failed(&mut self) {
        self.not_before = self.not_before.min(self.not_before_adoption);
    }

    /// This daemon has just found nobody to follow: its turn comes at a random moment.
    pub(super) fn on_detached(&mut self, now: TimeMs, has_parent: bool) {
        let spread = if has_parent {
            self.spread()
        } else {
            ORPHAN_SPREAD
        };
        let turn = spread.0 as f64 * self.random_share(now);
        self.not_before = self.not_before.max(now + DurationMs(turn as u64));
    }

    /// The time in which each daemon asks once.
    fn spread(&self) -> DurationMs {
        let daemons = self.fleet_size.unwrap_or(UNKNOWN_FLEET_SIZE);
        DurationMs((f64::from(daemons) / FLEET_CALLS_PER_S * 1_000.0) as u64)
    }

    /// A number from 0 to 1 that no two daemons share.
    fn random_share(&self, now: TimeMs) -> f64 {
        let hash = xxh3_64_with_seed(self.own.to_string().as_bytes(), now.0);
        hash as f64 / u64::MAX as f64
    }
}
