//! Admission: a new request runs, waits or is refused at once.

use super::Pool;
use super::entry::RequestEntry;
use crate::context::PoolContext;
use crate::decision_log::{Decision, DecisionLog};
use crate::effect::Effect;
use crate::event::Offer;
use crate::index::{ClassIx, CustomerIx};
use crate::modules::request_lifecycle::{LifecycleEvent, LifecycleState};
use bridgevane_types::{DurationMs, Outcome, RefusalCode, RequestId};

/// The `Retry-After` (ms) of a refusal because no engine is usable or the queue is full. A
/// configuration changes within seconds.
const NO_CAPACITY_RETRY_MS: f64 = 1_000.0;

impl Pool {
    /// Handles a new request: dispatches, queues or refuses it.
    pub(super) fn admit<L: DecisionLog>(&mut self, context: &mut PoolContext<'_, L>, offer: Offer) {
        let request = offer.request;
        let class = offer.class;
        if self.requests.contains_key(&request) {
            return;
        }
        let policy = self.class_policy(class);
        let target_ms = policy.first_token_target_ms;
        context.record(Decision::Offered {
            request,
            class,
            tier: policy.tier,
            is_repeatable: offer.is_repeatable,
            is_preemptible: offer.is_preemptible,
        });
        self.classes[class.index()]
            .retries
            .deposit(&context.settings.retry);
        let expected_tokens = self.estimates.expected_tokens(
            offer.kind,
            offer.customer,
            offer.max_tokens.0,
            &context.settings.estimates,
        );
        if let Err(retry_after_ms) = self.admit_customer(context, &offer, expected_tokens) {
            emit_refusal(
                context,
                request,
                RefusalCode::CustomerLimit,
                Outcome::NotRun,
                retry_after_ms,
            );
            return;
        }
        let deadline = context.now + target_ms;
        let entry = RequestEntry::new(offer, context.now, deadline, expected_tokens);
        self.requests.insert(request, entry);
        if self.is_quarantined(context.now, self.requests[&request].offer.fingerprint) {
            self.refuse(context, request, RefusalCode::EndsEngines, 0.0);
            return;
        }
        if !self.has_usable_engine() {
            self.refuse(
                context,
                request,
                RefusalCode::NoEngine,
                NO_CAPACITY_RETRY_MS,
            );
            return;
        }
        if self.queued >= context.settings.admission.max_queued
            && !self.shed_lower_tier(context, class)
        {
            self.refuse(
                context,
                request,
                RefusalCode::QueueFull,
                NO_CAPACITY_RETRY_MS,
            );
            return;
        }
        self.enqueue(request);
        self.dispatch_all(context);
        self.queue_or_refuse(context, request);
    }

    /// Admits a request by its customer's limits, or returns the time after which to retry.
    fn admit_customer<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        offer: &Offer,
        expected_tokens: f64,
    ) -> Result<(), DurationMs> {
        let Some(customer) = self.policy.customers.get(offer.customer.index()) else {
            return Ok(());
        };
        self.customers
            .admit(context.now, offer.customer, customer, expected_tokens)
    }

    /// Adds a new request to its class's queue.
    fn enqueue(&mut self, request: RequestId) {
        let Some(entry) = self.requests.get(&request) else {
            return;
        };
        let work_ms = self.work_ms(entry);
        let class = &mut self.classes[entry.offer.class.index()];
        class.queue.push(request, entry.offer.customer, work_ms);
        self.queued += 1;
    }

    /// Returns the expected remaining work of a request, in slot-milliseconds.
    pub(super) fn work_ms(&self, entry: &RequestEntry) -> f64 {
        let prefill_ms = self
            .estimates
            .prefill_ms(entry.offer.prompt_tokens.0 + entry.delivered);
        let remaining = (entry.expected_tokens - entry.delivered as f64).max(1.0);
        prefill_ms + remaining * self.estimates.between_tokens_ms()
    }

    /// Handles a request that could not start at once: it waits if it can meet its target, else it
    /// preempts a lower tier, else it is refused.
    fn queue_or_refuse<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
    ) {
        let Some(entry) = self.requests.get(&request) else {
            return;
        };
        if entry.lifecycle.state() != LifecycleState::Queued {
            return;
        }
        let class = entry.offer.class;
        let customer = entry.offer.customer;
        let target_ms = self.class_policy(class).first_token_target_ms.0 as f64;
        let prefill_ms = self.estimates.prefill_ms(entry.offer.prompt_tokens.0);
        let expected_ms = self.expected_wait_ms(context, class, customer) + prefill_ms;
        let preempt_at_ms = context.settings.admission.preempt_at_ms(target_ms);
        if expected_ms > preempt_at_ms && self.preempt_for(context, class) {
            return;
        }
        let refuse_at_ms = target_ms * (1.0 + context.settings.admission.refuse_margin_share);
        // The only waiting request of its class is kept: the class's longest wait bounds its wait.
        let is_alone = self.classes[class.index()].queue.len() <= 1;
        if expected_ms > refuse_at_ms && !is_alone {
            let retry_after_ms = expected_ms - target_ms;
            self.refuse(
                context,
                request,
                RefusalCode::CannotMeetTarget,
                retry_after_ms,
            );
            return;
        }
        context.record(Decision::Queued {
            request,
            expected_ms: DurationMs(expected_ms as u64),
        });
    }

    /// Returns the expected wait (ms) of a new request of `customer`.
    ///
    /// The work ahead of it runs on the slots that more important classes leave free. A class whose
    /// longest wait is reached gets a protected slot, which bounds the wait.
    pub(super) fn expected_wait_ms<L: DecisionLog>(
        &self,
        context: &PoolContext<'_, L>,
        class: ClassIx,
        customer: CustomerIx,
    ) -> f64 {
        let tier = self.class_policy(class).tier;
        let mut ahead_ms = self.classes[class.index()].queue.work_ahead_ms(customer);
        let mut taken_slots = 0.0;
        for other in &self.class_order {
            let other_tier = self.class_policy(*other).tier;
            if *other == class || other_tier > tier {
                continue;
            }
            ahead_ms += self.classes[other.index()].queue.work_ms();
            if other_tier < tier {
                taken_slots += self.classes[other.index()].use_rate.value();
            }
        }
        let guaranteed = self.class_policy(class).min_share.0 * self.total_slots;
        let available_slots = (self.total_slots - taken_slots).max(guaranteed).max(0.01);
        let by_work_ahead_ms = ahead_ms / available_slots;
        let waiting = self.classes[class.index()].queue.len().saturating_sub(1) as f64;
        let own_ms = self.classes[class.index()].queue.work_ms();
        let by_max_wait_ms =
            self.max_wait_ms(class, context.settings) as f64 + own_ms * waiting / (waiting + 1.0);
        by_work_ahead_ms.min(by_max_wait_ms)
    }

    /// Refuses a waiting request of the lowest tier below that of `class`; returns false if there
    /// is none.
    fn shed_lower_tier<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        class: ClassIx,
    ) -> bool {
        let tier = self.class_policy(class).tier;
        let lowest = self.class_order.iter().rev().find(|other| {
            self.class_policy(**other).tier > tier && !self.classes[other.index()].queue.is_empty()
        });
        let newest = lowest.and_then(|other| self.classes[other.index()].queue.shed_candidate());
        let Some(newest) = newest else {
            return false;
        };
        self.refuse(
            context,
            newest,
            RefusalCode::QueueFull,
            NO_CAPACITY_RETRY_MS,
        );
        true
    }

    /// Ends a request that isn't running, and refuses it with `code`.
    pub(super) fn refuse<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        code: RefusalCode,
        retry_after_ms: f64,
    ) {
        let Some(entry) = self.end_request(request) else {
            return;
        };
        self.customers.release(
            entry.offer.customer,
            entry.expected_tokens,
            entry.delivered as f64,
        );
        let outcome = match (entry.delivered > 0, entry.may_have_run) {
            (true, _) => Outcome::Ran,
            (false, true) => Outcome::Unknown,
            (false, false) => Outcome::NotRun,
        };
        let admission = &context.settings.admission;
        let min_ms = admission.min_retry_after_ms;
        let max_ms = admission.max_retry_after_ms;
        let retry_after_ms = DurationMs((retry_after_ms.max(0.0) as u64).clamp(min_ms, max_ms));
        emit_refusal(context, request, code, outcome, retry_after_ms);
    }

    /// Removes a request from the pool and its queue.
    pub(super) fn end_request(&mut self, request: RequestId) -> Option<RequestEntry> {
        let mut entry = self.requests.remove(&request)?;
        self.unqueue(request, &entry);
        entry.lifecycle.handle(LifecycleEvent::End);
        Some(entry)
    }

    /// Removes a request from its queue, if it is there.
    pub(super) fn unqueue(&mut self, request: RequestId, entry: &RequestEntry) {
        let class = &mut self.classes[entry.offer.class.index()];
        if class.queue.remove(request, entry.offer.customer) {
            self.queued -= 1;
        }
    }
}

/// Logs a refusal and emits its effect.
fn emit_refusal<L: DecisionLog>(
    context: &mut PoolContext<'_, L>,
    request: RequestId,
    code: RefusalCode,
    outcome: Outcome,
    retry_after_ms: DurationMs,
) {
    context.record(Decision::Refused {
        request,
        code,
        outcome,
    });
    // A request with an unknown outcome must not be encouraged to run again. A request that engines
    // reject, or that crashes them, would be refused again.
    let is_final = matches!(code, RefusalCode::Rejected | RefusalCode::EndsEngines);
    let may_retry = outcome != Outcome::Unknown && !is_final;
    let retry_after_ms = may_retry.then_some(retry_after_ms);
    context.effects.push(Effect::Refuse {
        request,
        code,
        outcome,
        retry_after_ms,
    });
}
