//! A model, without I/O, of an engine with continuous batching and a prefix cache.
//!
//! Callers pass the time in microseconds. Each step produces one token for every decoding sequence
//! and spends a budget of prompt tokens on the sequences that still prefill.

use bridgevane_adapters::{CacheChange, CacheEvent, EndReason, LoadReport};
use bridgevane_types::{AttemptNumber, RequestId, Slots, Tier, Tokens};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// The speed and size of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// The maximum number of sequences that run at the same time.
    pub slots: Slots,
    /// The number of prompt tokens that it processes per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// The fixed part of a step's duration, in microseconds.
    pub step_base_us: f64,
    /// The time that each running sequence adds to a step, in microseconds.
    pub step_per_sequence_us: f64,
    /// The capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// The number of tokens per block.
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

/// One attempt of a request, as submitted to the engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The priority; tier 0 is served first.
    pub priority: Tier,
    /// The hashes of the prompt's blocks.
    pub blocks: Vec<u64>,
    /// The number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// The number of answer tokens that earlier attempts delivered.
    pub resume_from: u64,
    /// The complete answer's length in tokens.
    pub total_tokens: u64,
    /// The reason with which the answer ends.
    pub end: EndReason,
}

/// An event that a step produced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ModelEvent {
    /// The next token of an answer.
    Token {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The number of tokens before it.
        offset: u64,
    },
    /// The end of an answer.
    End {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The number of tokens of the answer.
        offset: u64,
        /// Why the answer ended.
        reason: EndReason,
    },
}

#[derive(Clone, Debug)]
struct Sequence {
    job: Job,
    prefill_left: f64,
    produced: u64,
}

/// A model of one engine: running and waiting jobs, the prefix cache and its events.
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

/// The maximum number of cache events kept for readers; a reader that lags behind gets a gap.
const MAX_CACHE_EVENTS: usize = 4_096;

impl EngineModel {
    /// Creates an idle engine.
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

    /// Sets the factor by which every step takes longer.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor.max(0.01);
    }

    /// Enqueues a job at `now_us`.
    pub fn submit(&mut self, now_us: u64, job: Job) {
        let arrival = self.next_arrival;
        self.next_arrival += 1;
        self.waiting.insert((job.priority, arrival), job);
        if self.step_ends_us.is_none() {
            self.admit();
            self.begin_step(now_us);
        }
    }

    /// Removes an attempt; returns false if the engine doesn't have it.
    pub fn cancel(&mut self, request: RequestId, attempt: AttemptNumber) -> bool {
        let before = self.running.len() + self.waiting.len();
        let is_match = |job: &Job| job.request == request && job.attempt == attempt;
        self.running.retain(|sequence| !is_match(&sequence.job));
        self.waiting.retain(|_, job| !is_match(job));
        before > self.running.len() + self.waiting.len()
    }

    /// Drops all jobs and the cache, as a crash does.
    pub fn clear(&mut self) {
        self.running.clear();
        self.waiting.clear();
        self.cached.clear();
        self.cache_order.clear();
        self.step_ends_us = None;
    }

    /// Returns the time at which the current step ends, or `None` if the engine is idle.
    pub fn step_ends_us(&self) -> Option<u64> {
        self.step_ends_us
    }

    /// Completes the step that ends at `now_us` and begins the next one.
    pub fn step(&mut self, now_us: u64, events: &mut Vec<ModelEvent>) {
        self.prefill(now_us);
        self.decode(events);
        self.admit();
        self.begin_step(now_us);
    }

    /// Spends the step's budget of prompt tokens, in order of priority.
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

    /// Returns the indices of the running sequences by priority, within a tier by arrival.
    fn by_priority(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.running.len()).collect();
        order.sort_by_key(|index| self.running[*index].job.priority);
        order
    }

    /// Produces one token for every sequence past its prefill, and removes finished sequences.
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

    /// Moves waiting jobs into free slots.
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

    /// Returns the number of tokens to process before the job's next token.
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
        let cached_blocks = blocks
            .iter()
            .take_while(|block| self.cached.contains(block))
            .count();
        cached_blocks as u64 * self.spec.block_tokens
    }

    /// Adds blocks to the prefix cache; evicts the oldest ones above its capacity.
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

    /// Appends a cache event, and drops the oldest above [`MAX_CACHE_EVENTS`].
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

    /// Returns the cache events after `sequence`; if older events were dropped, the numbers have a
    /// gap.
    pub fn cache_events_after(&self, sequence: u64) -> Vec<CacheEvent> {
        self.cache_events
            .iter()
            .filter(|event| event.sequence > sequence)
            .copied()
            .collect()
    }

    /// Returns the current load.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: Slots(self.running.len() as u32),
            waiting: Slots(self.waiting.len() as u32),
            slots: self.spec.slots,
            ..LoadReport::default()
        }
    }

    /// Returns the number of prompt tokens processed since the start.
    pub fn prefilled_tokens(&self) -> Tokens {
        Tokens(self.prefilled_tokens as u64)
    }

    /// Returns the number of answer tokens produced since the start.
    pub fn decoded_tokens(&self) -> Tokens {
        Tokens(self.decoded_tokens)
    }
}
