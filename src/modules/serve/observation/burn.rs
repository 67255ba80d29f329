//! Service levels by class: attainment, goodput, wasted work, burn of the error budget.
//!
//! Counts are kept by minute for the longest window, so that windows and the counts of
//! several daemons can be added up.

use bridgevane_types::{ClassName, DurationMs, Share, TimeMs, Tokens};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, PoisonError};

/// Milliseconds of one count. Milliseconds of a minute, since burn is kept by the minute.
const MINUTE_MS: u64 = 60_000;
/// Minutes that are kept: six hours, the longest window. Chosen because the longest window of burn
/// is six hours.
const MINUTES: usize = 360;

/// What became of a class's requests in some time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that got their final answer.
    pub offered: u64,
    /// Whole answers within target.
    pub in_target: u64,
    /// Whole answers that were late.
    pub late: u64,
    /// Refused.
    pub refused: u64,
    /// Broken off or failed.
    pub cut: u64,
    /// Answers that were resumed at least once.
    pub resumed: u64,
    /// Tokens of answers within target.
    pub good_tokens: u64,
    /// Tokens computed for nothing, as far as is known here.
    pub wasted_tokens: u64,
}

impl Counts {
    /// Adds the counts of another time or daemon.
    pub fn add(&mut self, other: &Counts) {
        self.offered += other.offered;
        self.in_target += other.in_target;
        self.late += other.late;
        self.refused += other.refused;
        self.cut += other.cut;
        self.resumed += other.resumed;
        self.good_tokens += other.good_tokens;
        self.wasted_tokens += other.wasted_tokens;
    }

    /// The share served within target; 1 when nothing was asked.
    pub fn attainment(&self) -> Share {
        if self.offered == 0 {
            return Share(1.0);
        }
        Share(self.in_target as f64 / self.offered as f64)
    }

    /// How many times faster than allowed the error budget is used.
    pub(crate) fn burn_rate(&self, objective: Share) -> f64 {
        let budget = (1.0 - objective.0).max(1e-6);
        (1.0 - self.attainment().0) / budget
    }
}

/// How one request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Whole; the flag tells whether it was within target.
    Whole {
        /// First token and gaps were within target.
        is_in_target: bool,
        /// It was resumed at least once.
        is_resumed: bool,
        /// Its tokens.
        tokens: Tokens,
        /// Time to its first token.
        first_token_ms: DurationMs,
    },
    /// Refused.
    Refused,
    /// Broken off or failed.
    Cut,
}

/// First-token times, as a histogram that can be added to another one.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "Vec<(u64, u64)>", into = "Vec<(u64, u64)>")]
pub(crate) struct FirstTokens {
    histogram: Histogram<u64>,
}

/// The longest time to first token that is counted apart: ten minutes. Chosen because no caller
/// waits longer than ten minutes.
const MAX_FIRST_TOKEN_MS: u64 = 600_000;
/// Significant digits of first-token times. Chosen because percentiles are shown with two digits.
const DIGITS: u8 = 2;

impl Default for FirstTokens {
    fn default() -> Self {
        // The bounds are constants that the library accepts.
        let histogram = Histogram::new_with_bounds(1, MAX_FIRST_TOKEN_MS, DIGITS);
        Self {
            histogram: histogram.expect("constant bounds are valid"),
        }
    }
}

impl From<Vec<(u64, u64)>> for FirstTokens {
    fn from(pairs: Vec<(u64, u64)>) -> Self {
        let mut first_tokens = Self::default();
        for (value, count) in pairs {
            first_tokens.histogram.saturating_record_n(value, count);
        }
        first_tokens
    }
}

impl From<FirstTokens> for Vec<(u64, u64)> {
    fn from(first_tokens: FirstTokens) -> Self {
        let recorded = first_tokens.histogram.iter_recorded();
        recorded
            .map(|step| (step.value_iterated_to(), step.count_at_value()))
            .collect()
    }
}

impl FirstTokens {
    /// Adds another time's or daemon's.
    pub fn add(&mut self, other: &FirstTokens) {
        // Both have the same bounds.
        let _ = self.histogram.add(&other.histogram);
    }

    /// The time that this part of first tokens came within; none without any.
    pub(crate) fn quantile_ms(&self, part: f64) -> Option<u64> {
        (!self.histogram.is_empty()).then(|| self.histogram.value_at_quantile(part))
    }
}

#[derive(Debug, Default)]
struct ClassBurn {
    minutes: VecDeque<(u64, Counts)>,
    first_tokens: VecDeque<(u64, FirstTokens)>,
}

impl ClassBurn {
    /// First tokens are kept by spans of five minutes: a histogram a minute would be many.
    fn add_first_token(&mut self, now: TimeMs, first_token_ms: u64) {
        /// Chosen because the shortest window of burn is five minutes.
        const SPAN_MINUTES: u64 = 5;
        const SPANS: usize = MINUTES / SPAN_MINUTES as usize;
        let span = now.0 / MINUTE_MS / SPAN_MINUTES * SPAN_MINUTES;
        let is_current = self.first_tokens.back().is_some_and(|(at, _)| *at == span);
        if !is_current {
            self.first_tokens.push_back((span, FirstTokens::default()));
            if self.first_tokens.len() > SPANS {
                self.first_tokens.pop_front();
            }
        }
        if let Some((_, current)) = self.first_tokens.back_mut() {
            current.histogram.saturating_record(first_token_ms.max(1));
        }
    }

    fn current(&mut self, now: TimeMs) -> &mut Counts {
        let minute = now.0 / MINUTE_MS;
        let is_current = self.minutes.back().is_some_and(|(at, _)| *at == minute);
        if !is_current {
            self.minutes.push_back((minute, Counts::default()));
            if self.minutes.len() > MINUTES {
                self.minutes.pop_front();
            }
        }
        let last = self.minutes.len() - 1;
        &mut self.minutes[last].1
    }
}

/// Service levels of this daemon. A request takes the lock once, at its end.
#[derive(Debug, Default)]
pub struct Burn {
    classes: Mutex<BTreeMap<ClassName, ClassBurn>>,
}

impl Burn {
    /// Counts a request that ended.
    pub fn ended(&self, now: TimeMs, class: &ClassName, ended: RequestEnd) {
        let mut classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        let burn = classes.entry(class.clone()).or_default();
        if let RequestEnd::Whole { first_token_ms, .. } = ended {
            burn.add_first_token(now, first_token_ms.0);
        }
        let counts = burn.current(now);
        counts.offered += 1;
        match ended {
            RequestEnd::Whole {
                is_in_target,
                is_resumed,
                tokens,
                ..
            } => {
                counts.resumed += u64::from(is_resumed);
                if is_in_target {
                    counts.in_target += 1;
                    counts.good_tokens += tokens.0;
                } else {
                    counts.late += 1;
                }
            }
            RequestEnd::Refused => counts.refused += 1,
            RequestEnd::Cut => counts.cut += 1,
        }
    }

    /// Counts tokens that were computed for nothing.
    pub fn wasted(&self, now: TimeMs, class: &ClassName, tokens: Tokens) {
        let mut classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = classes.entry(class.clone()).or_default().current(now);
        counts.wasted_tokens += tokens.0;
    }

    /// First-token times of the last `window_ms`, by class.
    pub(crate) fn first_tokens(
        &self,
        now: TimeMs,
        window_ms: DurationMs,
    ) -> BTreeMap<ClassName, FirstTokens> {
        let oldest = now.0.saturating_sub(window_ms.0) / MINUTE_MS;
        let classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        let sum = |burn: &ClassBurn| {
            let mut sum = FirstTokens::default();
            // A span that began before the window still counts in full.
            let recent = burn
                .first_tokens
                .iter()
                .filter(|(span, _)| *span + 5 > oldest);
            recent.for_each(|(_, first_tokens)| sum.add(first_tokens));
            sum
        };
        classes
            .iter()
            .map(|(class, burn)| (class.clone(), sum(burn)))
            .collect()
    }

    /// The counts of the last `window_ms`, by class.
    pub fn window(&self, now: TimeMs, window_ms: DurationMs) -> BTreeMap<ClassName, Counts> {
        let oldest = now.0.saturating_sub(window_ms.0) / MINUTE_MS;
        let classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        let sum = |burn: &ClassBurn| {
            let mut sum = Counts::default();
            let recent = burn.minutes.iter().filter(|(minute, _)| *minute >= oldest);
            recent.for_each(|(_, counts)| sum.add(counts));
            sum
        };
        classes
            .iter()
            .map(|(class, burn)| (class.clone(), sum(burn)))
            .collect()
    }
}
