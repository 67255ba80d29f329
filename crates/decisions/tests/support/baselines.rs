//! Baselines that the product is compared with: first in, first out, with a simple choice of the
//! engine.

use bridgevane_decisions::{
    AttemptEnd, DecisionLog, Effect, EndpointIx, Offer, PoolContext, Scheduler,
};
use bridgevane_types::{AttemptNumber, DurationMs, RequestId, Tier, Tokens};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{HashMap, VecDeque};

/// The rule by which a baseline chooses an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Chooser {
    RoundRobin,
    LeastInFlight,
    PowerOfTwo,
}

struct Running {
    engine: usize,
    attempt: AttemptNumber,
    delivered: Tokens,
}

/// A first-in, first-out scheduler; an engine runs as many requests as it has slots.
pub struct Baseline {
    chooser: Chooser,
    slots: u32,
    in_flight: Vec<u32>,
    reported: Vec<u32>,
    queue: VecDeque<RequestId>,
    attempts: HashMap<RequestId, u64>,
    delivered: HashMap<RequestId, Tokens>,
    running: HashMap<RequestId, Running>,
    next: usize,
    rng: Pcg64Mcg,
}

impl Baseline {
    pub fn new(chooser: Chooser, engines: usize, slots: u32, seed: u64) -> Self {
        Self {
            chooser,
            slots,
            in_flight: vec![0; engines],
            reported: vec![0; engines],
            queue: VecDeque::new(),
            attempts: HashMap::new(),
            delivered: HashMap::new(),
            running: HashMap::new(),
            next: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn load(&self, engine: usize) -> u32 {
        self.in_flight[engine].max(self.reported[engine])
    }

    fn choose(&mut self) -> Option<usize> {
        let count = self.in_flight.len();
        let engine = match self.chooser {
            Chooser::RoundRobin => {
                self.next = (self.next + 1) % count;
                let next = self.next;
                (0..count)
                    .map(|step| (next + step) % count)
                    .find(|e| self.load(*e) < self.slots)?
            }
            Chooser::LeastInFlight => (0..count).min_by_key(|engine| self.load(*engine))?,
            Chooser::PowerOfTwo => {
                let one = self.rng.random_range(0..count);
                let two = self.rng.random_range(0..count);
                if self.load(one) <= self.load(two) {
                    one
                } else {
                    two
                }
            }
        };
        (self.load(engine) < self.slots).then_some(engine)
    }

    fn dispatch<L: DecisionLog>(&mut self, context: &mut PoolContext<'_, L>) {
        while !self.queue.is_empty() {
            let Some(engine) = self.choose() else { return };
            let Some(request) = self.queue.pop_front() else {
                return;
            };
            let attempts = self.attempts.entry(request).or_default();
            let attempt = AttemptNumber(*attempts);
            *attempts += 1;
            let delivered = self.delivered.get(&request).copied().unwrap_or_default();
            self.in_flight[engine] += 1;
            let running = Running {
                engine,
                attempt,
                delivered,
            };
            self.running.insert(request, running);
            context.effects.push(Effect::Dispatch {
                request,
                attempt,
                engine: EndpointIx(engine as u32),
                priority: Tier(0),
                resume_from: delivered,
                cached_tokens: Tokens(0),
            });
        }
    }
}

impl Scheduler for Baseline {
    fn offer<L: DecisionLog>(&mut self, context: &mut PoolContext<'_, L>, offer: Offer) {
        self.queue.push_back(offer.request);
        self.dispatch(context);
    }

    fn first_token<L: DecisionLog>(
        &mut self,
        _context: &mut PoolContext<'_, L>,
        _request: RequestId,
        _attempt: AttemptNumber,
    ) {
    }

    fn progress<L: DecisionLog>(
        &mut self,
        _context: &mut PoolContext<'_, L>,
        request: RequestId,
        _attempt: AttemptNumber,
        delivered: Tokens,
        _gap_ms: DurationMs,
    ) {
        if let Some(running) = self.running.get_mut(&request) {
            running.delivered = delivered;
        }
    }

    fn attempt_ended<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        attempt: AttemptNumber,
        end: AttemptEnd,
    ) {
        let is_current = self
            .running
            .get(&request)
            .is_some_and(|r| r.attempt == attempt);
        if !is_current {
            return;
        }
        if let Some(running) = self.running.remove(&request) {
            self.in_flight[running.engine] -= 1;
            let delivered = match end {
                AttemptEnd::Lost { delivered } => delivered,
                _ => running.delivered,
            };
            self.delivered.insert(request, delivered);
        }
        if !matches!(end, AttemptEnd::Done(_) | AttemptEnd::CallerGone) {
            self.queue.push_back(request);
        }
        self.dispatch(context);
    }

    fn load_report<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        engine: EndpointIx,
        busy: u32,
        _age_ms: DurationMs,
    ) {
        self.reported[engine.index()] = busy;
        self.dispatch(context);
    }

    fn tick<L: DecisionLog>(&mut self, context: &mut PoolContext<'_, L>) {
        self.dispatch(context);
    }
}
