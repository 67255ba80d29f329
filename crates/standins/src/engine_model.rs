//! A pure model of an engine with continuous batching and a prefix cache.
//!
//! Time comes in as microseconds; each step gives one token to every decoding sequence
//! and spends a budget of prompt tokens on those that still prefill.

use bridgevane_adapters::{CacheChange, CacheEvent, EndReason, LoadReport};
use bridgevane_types::{AttemptNumber, RequestId, Slots, Tier, Tokens};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// How fast and large an engine is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Sequences that run at the same time.
    pub slots: Slots,
    /// Prompt tokens that it processes in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// A step's time with no sequence, in microseconds.
    pub step_base_us: f64,
    /// What each running sequence adds to a step, in microseconds.
    pub step_per_sequence_us: f64,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Tokens of a block.
    pub block_tokens: u64,
}

impl Default for EngineSpec {
    fn default() -> Self {
        Self {
            slots: Slots(16),
            prefill_tokens_per_ms: 8.0,
            step_base_us: 20_000.0,
            step_per_sequence_us: 800.0,
            cache_blocks: 4_096,
            block_tokens: 16,
        }
    }
}

/// One attempt of a request, as the engine sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// 0 is served first.
    pub priority: Tier,
    /// Hashes of the prompt's blocks.
    pub blocks: Vec<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Answer tokens that were delivered already.
    pub resume_from: u64,
    /// The answer's whole length.
    pub total_tokens: u64,
    /// How the answer ends.
    pub end: EndReason,
}

/// What a step brought about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ModelEvent {
    /// A token came out.
    Token {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Tokens before it.
        offset: u64,
    },
    /// The answer is whole.
    End {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// All tokens.
        offset: u64,
        /// Why.
        reason: EndReason,
    },
}

#[derive(Clone, Debug)]
struct Sequence {
    job: Job,
    prefill_left: f64,
    produced: u64,
}

/// The engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    spec: EngineSpec,
    slowdown: f64,
    running: Vec<Sequence>,
    waiting: BTreeMap<(Tier, u64), Job>,
    next_arrival: u64,
    step_started_us: u64,
    step_ends_us: Option<u64>,
    cached: HashSet<u64>,
    cache_order: VecDeque<u64>,
    cache_events: VecDeque<CacheEvent>,
    cache_sequence: u64,
    prefilled_tokens: f64,
    decoded_tokens: u64,
}

/// Cache events that are kept for readers; older ones are lost to them.
const MAX_CACHE_EVENTS: usize = 4_096;

impl EngineModel {
    /// An idle engine.
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            slowdown: 1.0,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            next_arrival: 0,
            step_started_us: 0,
            step_ends_us: None,
            cached: HashSet::new(),
            cache_order: VecDeque::new(),
            cache_events: VecDeque::new(),
            cache_sequence: 0,
            prefilled_tokens: 0.0,
            decoded_tokens: 0,
        }
    }

    /// Makes every step take `factor` times as long.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor.max(0.01);
    }

    /// Takes a job at `now_us`.
    pub fn submit(&mut self, now_us: u64, job: Job) {
        let arrival = self.next_arrival;
        self.next_arrival += 1;
        self.waiting.insert((job.priority, arrival), job);
        if self.step_ends_us.is_none() {
            self.admit();
            self.begin_step(now_us);
        }
    }

    /// Drops an attempt; false when it isn't here.
    pub fn cancel(&mut self, request: RequestId, attempt: AttemptNumber) -> bool {
        let before = self.running.len() + self.waiting.len();
        let is_it = |job: &Job| job.request == request && job.attempt == attempt;
        self.running.retain(|sequence| !is_it(&sequence.job));
        self.waiting.retain(|_, job| !is_it(job));
        before > self.running.len() + self.waiting.len()
    }

    /// Drops everything, as a crash does.
    pub fn clear(&mut self) {
        self.running.clear();
        self.waiting.clear();
        self.cached.clear();
        self.cache_order.clear();
        self.step_ends_us = None;
    }

    /// When the running step ends; none: the engine is idle.
    pub fn step_ends_us(&self) -> Option<u64> {
        self.step_ends_us
    }

    /// Ends the step that ends at `now_us` and begins the next one.
    pub fn step(&mut self, now_us: u64, events: &mut Vec<ModelEvent>) {
        self.prefill(now_us);
        self.decode(events);
        self.admit();
        self.begin_step(now_us);
    }

    fn prefill(&mut self, now_us: u64) {
        let step_ms = now_us.saturating_sub(self.step_started_us) as f64 / 1000.0;
        let mut budget = self.spec.prefill_tokens_per_ms * step_ms / self.slowdown;
        for index in self.by_priority() {
            let sequence = &mut self.running[index];
            let spent = budget.min(sequence.prefill_left);
            if spent <= 0.0 {
                continue;
            }
            budget -= spent;
            sequence.prefill_left -= spent;
            self.prefilled_tokens += spent;
            if sequence.prefill_left <= 0.0 {
                let blocks = sequence.job.blocks.clone();
                self.store(&blocks);
            }
        }
    }

    /// Running sequences, the most important first, each tier by arrival.
    fn by_priority(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.running.len()).collect();
        order.sort_by_key(|index| self.running[*index].job.priority);
        order
    }

    fn decode(&mut self, events: &mut Vec<ModelEvent>) {
        for sequence in &mut self.running {
            if sequence.prefill_left > 0.0 {
                continue;
            }
            let job = &sequence.job;
            if sequence.produced < job.total_tokens {
                events.push(ModelEvent::Token {
                    request: job.request,
                    attempt: job.attempt,
                    offset: sequence.produced,
                });
                sequence.produced += 1;
                self.decoded_tokens += 1;
            }
            if sequence.produced >= job.total_tokens {
                events.push(ModelEvent::End {
                    request: job.request,
                    attempt: job.attempt,
                    offset: sequence.produced,
                    reason: job.end,
                });
            }
        }
        self.running
            .retain(|s| s.prefill_left > 0.0 || s.produced < s.job.total_tokens);
    }

    fn admit(&mut self) {
        while self.running.len() < self.spec.slots.0 as usize {
            let Some((_, job)) = self.waiting.pop_first() else {
                return;
            };
            let uncached = self.uncached_tokens(&job);
            self.running.push(Sequence {
                prefill_left: (uncached as f64).max(1.0),
                produced: job.resume_from,
                job,
            });
        }
    }

    /// Tokens that must be processed before the job's next token comes.
    pub fn uncached_tokens(&self, job: &Job) -> u64 {
        let cached = self.cached_tokens(&job.blocks).min(job.prompt_tokens);
        job.prompt_tokens - cached + job.resume_from
    }

    fn begin_step(&mut self, now_us: u64) {
        self.step_started_us = now_us;
        if self.running.is_empty() {
            self.step_ends_us = None;
            return;
        }
        let count = self.running.len() as f64;
        let step_us = self.spec.step_base_us + self.spec.step_per_sequence_us * count;
        self.step_ends_us = Some(now_us + (step_us * self.slowdown) as u64);
    }

    fn cached_tokens(&self, blocks: &[u64]) -> u64 {
        let hit = blocks
            .iter()
            .take_while(|block| self.cached.contains(block))
            .count();
        hit as u64 * self.spec.block_tokens
    }

    fn store(&mut self, blocks: &[u64]) {
        for block in blocks {
            if !self.cached.insert(*block) {
                continue;
            }
            self.cache_order.push_back(*block);
            self.publish(*block, CacheChange::Stored);
            if self.cache_order.len() > self.spec.cache_blocks
                && let Some(oldest) = self.cache_order.pop_front()
            {
                self.cached.remove(&oldest);
                self.publish(oldest, CacheChange::Evicted);
            }
        }
    }

    fn publish(&mut self, block: u64, change: CacheChange) {
        self.cache_sequence += 1;
        self.cache_events.push_back(CacheEvent {
            sequence: self.cache_sequence,
            block,
            change,
        });
        if self.cache_events.len() > MAX_CACHE_EVENTS {
            self.cache_events.pop_front();
        }
    }

    /// Cache events after `sequence`; the first may be later than the next one: a gap.
    pub fn cache_events_after(&self, sequence: u64) -> Vec<CacheEvent> {
        self.cache_events
            .iter()
            .filter(|event| event.sequence > sequence)
            .copied()
            .collect()
    }

    /// The load as of now.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: Slots(self.running.len() as u32),
            waiting: Slots(self.waiting.len() as u32),
            slots: self.spec.slots,
            ..LoadReport::default()
        }
    }

    /// Prompt tokens processed since the start.
    pub fn prefilled_tokens(&self) -> Tokens {
        Tokens(self.prefilled_tokens as u64)
    }

    /// Answer tokens made since the start.
    pub fn decoded_tokens(&self) -> Tokens {
        Tokens(self.decoded_tokens)
    }
}
