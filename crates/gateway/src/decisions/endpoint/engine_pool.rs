//! Engine pool: how many engines take the long prompts that begin with the same part.
//!
//! Sessions of one customer's kind of work share the first part of their prompts and not the rest. Each engine that
//! gets such a prompt for the first time reads the first part anew, so that a fleet with many more engines than
//! it needs reads it once for nearly every session.
//!
//! Inputs: how many long prompts with this first part are under way in the whole fleet, as daemons tell each other;
//! the engines that take long prompts; for how long the fleet has had work.
//!
//! Rules:
//! 1. The pool is so large that an engine of it runs `RUNNING_PER_ENGINE` of these prompts in the mean, rounded up
//!    to a power of two of all engines, and never below `LEAST_SHARE` of them or `LEAST_ENGINES`.
//! 2. It starts with all engines, and may be half as large with each `HALVING` from the moment on that the fleet has
//!    work: what others send is known some time later. It grows at once.
//! 3. A pool that would take more than `LARGEST_SHARE` of the engines is all of them.
//! 4. Who is in a pool follows from a hash of the first part and the engine: all daemons agree, and a smaller pool
//!    lies within a larger one, so that daemons that differ in their figures share engines.
//!
//! Reason: the reading of a part that other engines have read takes an engine's time from everyone there. By the
//! number that runs, and not by a setting, the pool fits fleets of any size and any load.
//!
//! Tests: `engine_pool.rs`.

use super::hash_mix::mix;
use crate::work_by_endpoint::{EndpointHash, FirstPart};
use bridgevane_types::{DurationMs, TimeMs};

/// Long prompts that an engine of a pool runs in the mean, when the pool is at its smallest. Not measured by
/// itself, chosen because it leaves a burst of five times the usual below three at once.
const RUNNING_PER_ENGINE: f64 = 0.5;
/// The smallest part of all engines. Not measured by itself, chosen because a first part that nobody knew meets
/// so many engines before its requests are told: of 6,800 they are 106.
const LEAST_SHARE: f64 = 1.0 / 64.0;
/// The fewest engines. Not measured, chosen because two of them are preferred by a session, and others must be
/// left when some are lost.
const LEAST_ENGINES: f64 = 16.0;
/// The largest part of all engines that a pool may be: whenever a pool changes, sessions move, and what they share
/// is read again. Measured on a quiet day before 143 engines for long prompts, with pools of an eighth to all of
/// them: 4.1 M tokens of shared parts read again, 3.0 M without pools. With this bound fewer than 256 such
/// engines are never pooled.
const LARGEST_SHARE: f64 = 1.0 / 16.0;
/// How long until a pool may be half as large. Not measured by itself, chosen so that the first pool, of a
/// sixteenth, comes after 2 s: by then all daemons have heard of work.
const HALVING: DurationMs = DurationMs(500);

/// What is known when the pool of a first part is asked for.
#[derive(Clone, Copy, Debug)]
pub struct PoolInputs {
    /// Long prompts with the first part that are under way, in the whole fleet.
    pub running: u32,
    /// Engines that take long prompts.
    pub engines: usize,
    /// Since when the fleet has had work without a pause; none: it has none.
    pub busy_since: Option<TimeMs>,
    /// Now.
    pub now: TimeMs,
}

/// The engines that take long prompts with one first part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EnginePool {
    first_part: FirstPart,
    /// The part of all engines, a power of two.
    share: f64,
}

impl EnginePool {
    /// The pool of a first part.
    pub fn new(first_part: FirstPart, inputs: PoolInputs) -> Self {
        let engines = inputs.engines.max(1) as f64;
        let needed = f64::from(inputs.running) / RUNNING_PER_ENGINE;
        let needed_share = needed.max(LEAST_ENGINES) / engines;
        let share = needed_share.max(LEAST_SHARE).max(start_share(&inputs));
        let share = share.log2().ceil().exp2();
        Self {
            first_part,
            share: if share > LARGEST_SHARE { 1.0 } else { share },
        }
    }

    /// The part of all engines that are in it.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Whether an engine is in it.
    pub fn contains(&self, engine: EndpointHash) -> bool {
        let weight = mix(u64::from(self.first_part.0), engine);
        weight as f64 >= (1.0 - self.share) * u64::MAX as f64
    }
}

/// The smallest share so soon after the fleet began to work.
fn start_share(inputs: &PoolInputs) -> f64 {
    let Some(busy_since) = inputs.busy_since else {
        return 1.0;
    };
    let halvings = inputs.now.since(busy_since).0 / HALVING.0;
    (-(halvings as f64)).exp2()
}
