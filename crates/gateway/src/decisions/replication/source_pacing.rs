//! Source pacing: when a daemon may poll the control source.
//!
//! Inputs: whether the daemon is a seed, the number of daemons, whether another daemon answers, and
//! the results of earlier polls.
//!
//! Rules: a seed polls whenever the source answers, at once after a first failure, which may have
//! been the connection's alone, and then in pauses that double up to `MAX_SEED_PAUSE`. Any other
//! daemon polls only when it has found no daemon to follow:
//! - one that lost its parent, within `ORPHAN_SPREAD`: its followers wait for it;
//! - while its parent answers, but has nothing new either, all daemons together poll
//!   `FLEET_CALLS_PER_S` times a second: a daemon that succeeds passes the state on to the others. Each
//!   asks once when its proof is as old as [`ProofLimits::ask_from`], and polls again after a search
//!   without a result.
//!
//! Reason: the source can serve a few callers, not one for each daemon, and never the whole fleet
//! in one second: without pacing 116 to 295 daemons of a fleet of 295 polled it in the same second.
//! Few daemons lose their parents at once, since a tree has few daemons near its root; a daemon
//! that is isolated from all others has no peer that could poll for it.
//!
//! See docs/design/15.
//!
//! Tests: `upstream.rs::…the_source…`, `follow_tree.rs`.

use super::proof_limits::ProofLimits;
use bridgevane_types::{DurationMs, TimeMs};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The first pause between polls of a source that doesn't answer; it doubles. Half of it would
/// double the polls of seeds in an outage.
const FIRST_PAUSE: DurationMs = DurationMs(700);
/// The longest pause of a daemon that is no seed. Proofs last 4.7 s by default: the source is
/// polled at least once before they end.
const MAX_PAUSE: DurationMs = DurationMs(2_800);
/// The longest pause of a seed. What changed in an outage must be in force everywhere 3 s after the
/// source is back, also on daemons that kept serving: a second until a seed polls, the rest for its
/// reading and the way down the tree.
const MAX_SEED_PAUSE: DurationMs = DurationMs(1_000);
/// The pause after a response of the source to a daemon that is no seed, as a share of the age at
/// which other daemons poll the source themselves. The rest must cover a slow source (0.24 s at the
/// slowest known sites) and the way down the tree.
const POLL_SHARE: f64 = 0.7;
/// Polls a second of all daemons whose parents answer, but have nothing new. One success in some 30
/// ms is soon enough, since a proof lasts another second and more by then, and an outage of a
/// minute costs no more than 1,800 polls in a fleet of any size.
const FLEET_CALLS_PER_S: f64 = 30.0;
/// The time over which daemons that lost their parents spread their polls: a tenth of a proof's
/// lifetime.
const ORPHAN_SPREAD: DurationMs = DurationMs(400);
/// The number of daemons that ask the source first. If it refuses half of the fleet, all of them fail once
/// in 65,000 times.
const FIRST_QUESTIONS: f64 = 16.0;
/// The time over which the first questions are spread: some are answered before the others are sent.
const FIRST_QUESTIONS_SPREAD: DurationMs = DurationMs(250);
/// Questions a second of all daemons after the first ones. With those that lost their parents, 50 daemons
/// a second call the source at most.
const QUESTIONS_PER_S: f64 = 4.0;
/// The number of daemons that is assumed while none is reported, between the smallest and largest
/// known fleets.
const UNKNOWN_FLEET_SIZE: u32 = 100;

/// The rank of a seed from which all seeds wait for the same time. A source that falls silent is
/// noticed after the wait and a second more: 2.5 s of the 4.7 s that proofs last.
const MAX_WAITING_SEEDS: u64 = 3;

/// Returns how long one long poll for changes lasts at the source, where proofs should come every
/// `watch_wait`.
///
/// Seeds exchange their proofs: the first of the running ones waits for one interval, the second
/// for two, the third for three. With waits of three intervals for all, a change wakes all seeds at
/// once, so that they wait in step, and the fleet's proofs were up to 3 s old (295 daemons: 109
/// calls, 0.05 of requests refused).
///
/// A response is needed at once by a daemon that is no seed, since it polls in place of a parent
/// with an old proof, and by one that got none to its last poll: an open connection may have fallen
/// silent for good.
pub fn watch_wait(watch_wait: DurationMs, caller: SourceCaller) -> DurationMs {
    if !caller.is_seed || caller.has_failed {
        return DurationMs(0);
    }
    let rank = (caller.seeds_before as u64 + 1).min(MAX_WAITING_SEEDS);
    DurationMs(watch_wait.0 * rank)
}

/// Returns how long a daemon waits with its question if this many ask before it.
fn question_delay(asked_before: f64) -> DurationMs {
    let first = asked_before.min(FIRST_QUESTIONS) / FIRST_QUESTIONS;
    let later = (asked_before - FIRST_QUESTIONS).max(0.0);
    let delay_ms = first * FIRST_QUESTIONS_SPREAD.0 as f64 + later / QUESTIONS_PER_S * 1_000.0;
    DurationMs(delay_ms as u64)
}

/// A daemon that polls the source for changes.
#[derive(Clone, Copy, Debug)]
pub struct SourceCaller {
    /// Whether it follows the source while the source answers.
    pub is_seed: bool,
    /// Whether the source did not answer its last poll.
    pub has_failed: bool,
    /// The number of running seeds that come before this one.
    pub seeds_before: usize,
}

/// Tracks when the source may be polled.
#[derive(Debug)]
pub(super) struct SourcePacing {
    own_address: SocketAddr,
    is_seed: bool,
    fleet_size: Option<u32>,
    not_before: TimeMs,
    /// The value of `not_before` before another daemon was adopted.
    not_before_adoption: TimeMs,
    /// Whether the last poll failed.
    has_failed: bool,
    /// The next pause after a failure.
    retry_pause: DurationMs,
    /// The pause after a response to a daemon that is no seed: others may follow it, and must not
    /// leave it meanwhile.
    poll_pause: DurationMs,
    /// The age of a proof from which on the source is asked.
    ask_from: DurationMs,
    /// The proof after which the source was asked last.
    asked_after: Option<TimeMs>,
}

impl SourcePacing {
    pub(super) fn new(own_address: SocketAddr, is_seed: bool, limits: ProofLimits) -> Self {
        Self {
            own_address,
            is_seed,
            fleet_size: None,
            not_before: TimeMs(0),
            not_before_adoption: TimeMs(0),
            has_failed: false,
            retry_pause: FIRST_PAUSE,
            poll_pause: DurationMs((limits.ask_from.0 as f64 * POLL_SHARE) as u64),
            ask_from: limits.ask_from,
            asked_after: None,
        }
    }

    /// Returns when the source may be polled next.
    pub(super) fn not_before(&self) -> TimeMs {
        self.not_before
    }

    pub(super) fn may_poll(&self, now: TimeMs) -> bool {
        now >= self.not_before
    }

    pub(super) fn on_fleet_size(&mut self, daemons: u32) {
        if daemons > 0 {
            self.fleet_size = Some(daemons);
        }
    }

    pub(super) fn on_answered(&mut self, now: TimeMs) {
        self.retry_pause = FIRST_PAUSE;
        self.has_failed = false;
        self.not_before = if self.is_seed {
            now
        } else {
            now + self.poll_pause
        };
    }

    pub(super) fn on_failed(&mut self, now: TimeMs, has_peer_answered: bool) {
        let is_first = !std::mem::replace(&mut self.has_failed, true);
        if self.is_seed && is_first {
            self.not_before = now;
            return;
        }
        let mut retry_pause = self.retry_pause;
        if has_peer_answered && !self.is_seed {
            retry_pause = retry_pause.max(self.polling_cycle());
        }
        self.not_before = now + retry_pause;
        let longest = if self.is_seed {
            MAX_SEED_PAUSE
        } else {
            MAX_PAUSE
        };
        self.retry_pause = DurationMs(self.retry_pause.0 * 2).min(longest);
    }

    /// Records that another daemon was adopted: it is polled before the source is polled again.
    pub(super) fn on_adopted(&mut self, now: TimeMs) {
        self.not_before_adoption = self.not_before;
        self.not_before = self.not_before.max(now + FIRST_PAUSE);
    }

    /// Records that the daemon adopted last never answered, and undoes the delay of its adoption.
    pub(super) fn on_adoption_failed(&mut self) {
        self.not_before = self.not_before.min(self.not_before_adoption);
    }

    /// Schedules this daemon's slot at a random moment after a search that found no daemon to
    /// follow.
    pub(super) fn on_detached(&mut self, now: TimeMs, has_parent: bool) {
        let spread = if has_parent {
            self.polling_cycle()
        } else {
            ORPHAN_SPREAD
        };
        let delay = spread.0 as f64 * self.random_fraction(now);
        self.not_before = self.not_before.max(now + DurationMs(delay as u64));
    }

    /// Returns when the source is asked if no newer proof than this one arrives; `None` if it was asked.
    pub(super) fn question_at(&self, proved_at: TimeMs) -> Option<TimeMs> {
        if self.asked_after == Some(proved_at) {
            return None;
        }
        let daemons = f64::from(self.fleet_size.unwrap_or(UNKNOWN_FLEET_SIZE));
        let asked_before = daemons * self.random_fraction(proved_at);
        Some(proved_at + self.ask_from + question_delay(asked_before))
    }

    /// Records that the source is asked after this proof.
    pub(super) fn on_asked(&mut self, proved_at: Option<TimeMs>) {
        self.asked_after = proved_at;
    }

    /// Returns the time in which each daemon polls the source once.
    fn polling_cycle(&self) -> DurationMs {
        let daemons = self.fleet_size.unwrap_or(UNKNOWN_FLEET_SIZE);
        DurationMs((f64::from(daemons) / FLEET_CALLS_PER_S * 1_000.0) as u64)
    }

    /// Returns a number from 0 to 1 that differs between daemons.
    fn random_fraction(&self, now: TimeMs) -> f64 {
        let hash = xxh3_64_with_seed(self.own_address.to_string().as_bytes(), now.0);
        hash as f64 / u64::MAX as f64
    }
}
