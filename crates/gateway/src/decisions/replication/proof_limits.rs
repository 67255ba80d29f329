//! Proof limits: how old an upstream's proof may be, worked out from how long a proof lasts.
//!
//! Inputs: the lifetime L of a proof (ms, `--key-removal-ms` less 300).
//!
//! | limit | of L | at 4.7 s | reason |
//! |---|---|---|---|
//! | adopt below | 0.34 | 1.6 s | a seed's proof is up to 1 s old, each level adds the way only; what is adopted must last a while |
//! | leave from | 0.6 | 2.8 s | an upstream that lost its own one has found another by then: 1 s without an answer, a daemon that is away (0.3 s), the way |
//! | source at the latest | 0.7 | 3.3 s | of a daemon whom no other one answers: leaves 1.4 s for a slow source |
//!
//! Measured: a limit of 1.6 s in place of 2.8 s sent whole data centres to the source whenever the
//! tree was rearranged (116 of 295 daemons in one second of a quiet day).
//!
//! Tests: `upstream.rs`.

use bridgevane_types::DurationMs;

const ADOPT_SHARE: f64 = 0.34;
const LEAVE_SHARE: f64 = 0.6;
const SOURCE_SHARE: f64 = 0.7;

/// Ages of proofs at which a daemon does something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProofLimits {
    /// A daemon with a younger proof may become the upstream.
    pub adopt_below: DurationMs,
    /// With an own proof so old another upstream is looked for.
    pub leave_from: DurationMs,
    /// With an own proof so old, a daemon whom no other one answers asks the source.
    pub source_from: DurationMs,
}

impl ProofLimits {
    /// With an own proof so old, a daemon that asks and has a newer one is adopted at once. A seed waits
    /// for the source as a rule, and isn't taken from it while its proof is good enough.
    pub fn fresher_from(&self, is_seed: bool) -> DurationMs {
        if is_seed {
            self.leave_from
        } else {
            self.adopt_below
        }
    }

    /// The limits for proofs that last so long.
    pub fn new(proof_lifetime: DurationMs) -> Self {
        let share = |share: f64| DurationMs((proof_lifetime.0 as f64 * share) as u64);
        Self {
            adopt_below: share(ADOPT_SHARE),
            leave_from: share(LEAVE_SHARE),
            source_from: share(SOURCE_SHARE),
        }
    }
}
