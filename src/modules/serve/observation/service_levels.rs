//! Service levels by class: attainment, goodput, wasted work and the burn rate of the error budget.
//!
//! Counts are kept per minute for the longest window, so that the counts of windows and of several
//! daemons can be added.

use bridgevane_types::{ClassName, DurationMs, Share, TimeMs, Tokens};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, PoisonError};

/// The time that one count covers, in milliseconds: a minute.
const MINUTE_MS: u64 = 60_000;
/// The number of minutes that are kept: six hours, the longest window of the burn rate.
const MINUTES: usize = 360;

/// The outcomes of a class's requests in a period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// The requests that got their final answer.
    pub offered: u64,
    /// Complete answers within the latency targets.
    pub in_target: u64,
    /// Complete answers that missed a latency target.
    pub late: u64,
    /// Requests that were refused without having run.
    pub refused: u64,
    /// Requests that were cut or failed after they had started.
    pub cut: u64,
    /// Complete answers that were resumed at least once.
    pub resumed: u64,
    /// The tokens of answers within the latency targets.
    pub good_tokens: u64,
    /// The tokens that were computed but not used, as far as this daemon knows.
    pub wasted_tokens: u64,
}

impl Counts {
    /// Adds the counts of another period or daemon.
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

    /// Returns the share of requests served within the latency targets; 1 without requests.
    pub fn attainment(&self) -> Share {
        if self.offered == 0 {
            return Share(1.0);
        }
        Share(self.in_target as f64 / self.offered as f64)
    }

    /// Returns the burn rate: how many times faster than allowed the error budget is used.
    pub(crate) fn burn_rate(&self, objective: Share) -> f64 {
        let budget = (1.0 - objective.0).max(1e-6);
        (1.0 - self.attainment().0) / budget
    }
}

/// The end of one request, as the service levels count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The answer was complete.
    Complete {
        /// Whether first token and gaps were within the latency targets.
        is_in_target: bool,
        /// Whether the answer was resumed at least once.
        is_resumed: bool,
        /// The number of tokens in the answer.
        tokens: Tokens,
        /// The time to the first token.
        first_token_ms: DurationMs,
    },
    /// The request was refused without having run.
    Refused,
    /// The request was cut or failed after it had started.
    Cut,
}

/// A histogram of times to the first token. Histograms can be added.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "Vec<(u64, u64)>", into = "Vec<(u64, u64)>")]
pub(crate) struct FirstTokens {
    histogram: Histogram<u64>,
}

/// The longest time to the first token that the histogram distinguishes: ten minutes. No caller
/// waits longer.
const MAX_FIRST_TOKEN_MS: u64 = 600_000;
/// The significant digits of the histogram: percentiles are shown with two digits.
const DIGITS: u8 = 2;

impl Default for FirstTokens {
    fn default() -> Self {
        // The bounds are constant and valid.
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
    /// Adds the histogram of another period or daemon.
    pub fn add(&mut self, other: &FirstTokens) {
        // Adding can't fail: both histograms have the same bounds.
        let _ = self.histogram.add(&other.histogram);
    }

    /// Returns the time within which the share `part` of the first tokens arrived; `None` without
    /// any.
    pub(crate) fn quantile_ms(&self, part: f64) -> Option<u64> {
        (!self.histogram.is_empty()).then(|| self.histogram.value_at_quantile(part))
    }
}

#[derive(Debug, Default)]
struct ClassLevels {
    minutes: VecDeque<(u64, Counts)>,
    first_tokens: VecDeque<(u64, FirstTokens)>,
}

impl ClassLevels {
    /// Records a time to the first token. Histograms cover five minutes each: one per minute would
    /// be too many.
    fn record_first_token(&mut self, now: TimeMs, first_token_ms: u64) {
        /// The number of minutes that one histogram covers: the shortest window of the burn rate.
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
        if let Some((_, current_span)) = self.first_tokens.back_mut() {
            current_span
                .histogram
                .saturating_record(first_token_ms.max(1));
        }
    }

    fn current_minute(&mut self, now: TimeMs) -> &mut Counts {
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

/// The service levels of this daemon. A request takes the lock once, at its end.
#[derive(Debug, Default)]
pub struct ServiceLevels {
    classes: Mutex<BTreeMap<ClassName, ClassLevels>>,
}

impl ServiceLevels {
    /// Counts a request that has ended.
    pub fn count_request(&self, now: TimeMs, class: &ClassName, ended: RequestEnd) {
        let mut classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        let levels = classes.entry(class.clone()).or_default();
        if let RequestEnd::Complete { first_token_ms, .. } = ended {
            levels.record_first_token(now, first_token_ms.0);
        }
        let counts = levels.current_minute(now);
        counts.offered += 1;
        match ended {
            RequestEnd::Complete {
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

    /// Counts tokens that were computed but not used.
    pub fn count_wasted_tokens(&self, now: TimeMs, class: &ClassName, tokens: Tokens) {
        let mut classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = classes
            .entry(class.clone())
            .or_default()
            .current_minute(now);
        counts.wasted_tokens += tokens.0;
    }

    /// Returns the times to the first token in the last `window_ms`, by class.
    pub(crate) fn first_tokens(
        &self,
        now: TimeMs,
        window_ms: DurationMs,
    ) -> BTreeMap<ClassName, FirstTokens> {
        let oldest = now.0.saturating_sub(window_ms.0) / MINUTE_MS;
        let classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        let sum = |levels: &ClassLevels| {
            let mut sum = FirstTokens::default();
            // A span that started before the window counts in full.
            let recent = levels
                .first_tokens
                .iter()
                .filter(|(span, _)| *span + 5 > oldest);
            recent.for_each(|(_, first_tokens)| sum.add(first_tokens));
            sum
        };
        classes
            .iter()
            .map(|(class, levels)| (class.clone(), sum(levels)))
            .collect()
    }

    /// Returns the counts of the last `window_ms`, by class.
    pub fn counts_in(&self, now: TimeMs, window_ms: DurationMs) -> BTreeMap<ClassName, Counts> {
        let oldest = now.0.saturating_sub(window_ms.0) / MINUTE_MS;
        let classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        let sum = |levels: &ClassLevels| {
            let mut sum = Counts::default();
            let recent = levels
                .minutes
                .iter()
                .filter(|(minute, _)| *minute >= oldest);
            recent.for_each(|(_, counts)| sum.add(counts));
            sum
        };
        classes
            .iter()
            .map(|(class, levels)| (class.clone(), sum(levels)))
            .collect()
    }
}
