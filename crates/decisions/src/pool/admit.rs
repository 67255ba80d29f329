//! Admission: run, wait or be refused at once.

use super::Pool;
use super::entry::Entry;
use crate::context::PoolContext;
use crate::decision_log::{Decision, DecisionLog};
use crate::effect::Effect;
use crate::event::Offer;
use crate::index::{ClassIx, CustomerIx};
use crate::modules::request_life::{LifecycleEvent, LifecycleState};
use bridgevane_types::{DurationMs, Outcome, RefusalCode, RequestId};

/// When to come back after no engine could serve. Not measured, chosen because a configuration
/// changes within seconds.
const NO_CAPACITY_RETRY_MS: f64 = 1_000.0;

impl Pool {
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
        self.classes[class.at()]
            .retries
            .deposit(&context.settings.retry);
        let expected_tokens = self.estimates.expected_tokens(
            offer.kind,
            offer.customer,
            offer.max_tokens.0,
            &context.settings.estimates,
        );
        if let Err(retry_after_ms) = self.admit_customer(context, &offer, expected_tokens) {
            refuse(
                context,
                request,
                RefusalCode::CustomerLimit,
                Outcome::NotRun,
                retry_after_ms,
            );
            return;
        }
        let deadline = context.now + target_ms;
        let entry = Entry::new(offer, context.now, deadline, expected_tokens);
        self.requests.insert(request, entry);
        if self.is_stopped(context.now, self.requests[&request].offer.fingerprint) {
            self.give_up(context, request, RefusalCode::EndsEngines, 0.0);
            return;
        }
        if !self.has_usable_engine() {
            self.give_up(
                context,
                request,
                RefusalCode::NoEngine,
                NO_CAPACITY_RETRY_MS,
            );
            return;
        }
        if self.queued >= context.settings.admission.max_queued && !self.shed_below(context, class)
        {
            self.give_up(
                context,
                request,
                RefusalCode::QueueFull,
                NO_CAPACITY_RETRY_MS,
            );
            return;
        }
        self.enqueue(request);
        self.dispatch_all(context);
        self.keep_or_refuse(context, request);
    }

    fn admit_customer<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        offer: &Offer,
        expected_tokens: f64,
    ) -> Result<(), DurationMs> {
        let Some(customer) = self.policy.customers.get(offer.customer.at()) else {
            return Ok(());
        };
        self.customers
            .admit(context.now, offer.customer, customer, expected_tokens)
    }

    /// Puts a new request at the end of its class's queue.
    fn enqueue(&mut self, request: RequestId) {
        let Some(entry) = self.requests.get(&request) else {
            return;
        };
        let work_ms = self.work_ms(entry);
        let class = &mut self.classes[entry.offer.class.at()];
        class.queue.push(request, entry.offer.customer, work_ms);
        self.queued += 1;
    }

    /// Slot-milliseconds that the rest of a request is expected to take.
    pub(super) fn work_ms(&self, entry: &Entry) -> f64 {
        let prefill_ms = self
            .estimates
            .prefill_ms(entry.offer.prompt_tokens.0 + entry.delivered);
        let rest = (entry.expected_tokens - entry.delivered as f64).max(1.0);
        prefill_ms + rest * self.estimates.between_tokens_ms()
    }

    /// A request that could not start at once waits if it can make its target, makes room
    /// for itself if lower tiers hold any, and is refused otherwise.
    fn keep_or_refuse<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
    ) {
        let Some(entry) = self.requests.get(&request) else {
            return;
        };
        if entry.life.state() != LifecycleState::Queued {
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
        // The only one that waits in its class is kept: the longest wait bounds its own.
        let is_alone = self.classes[class.at()].queue.len() <= 1;
        if expected_ms > refuse_at_ms && !is_alone {
            let retry_after_ms = expected_ms - target_ms;
            self.give_up(
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

    /// The wait that a new request of `customer` is to expect.
    ///
    /// Work that goes before it drains over the slots that more important classes leave. A
    /// class whose longest wait is reached gets one protected slot, which bounds the wait.
    pub(super) fn expected_wait_ms<L: DecisionLog>(
        &self,
        context: &PoolContext<'_, L>,
        class: ClassIx,
        customer: CustomerIx,
    ) -> f64 {
        let tier = self.class_policy(class).tier;
        let mut ahead_ms = self.classes[class.at()].queue.work_ahead_ms(customer);
        let mut taken_slots = 0.0;
        for other in &self.class_order {
            let other_tier = self.class_policy(*other).tier;
            if *other == class || other_tier > tier {
                continue;
            }
            ahead_ms += self.classes[other.at()].queue.work_ms();
            if other_tier < tier {
                taken_slots += self.classes[other.at()].use_rate.value();
            }
        }
        let guaranteed = self.class_policy(class).min_share.0 * self.total_slots;
        let left_slots = (self.total_slots - taken_slots).max(guaranteed).max(0.01);
        let by_leftover_ms = ahead_ms / left_slots;
        let waiting = self.classes[class.at()].queue.len().saturating_sub(1) as f64;
        let own_ms = self.classes[class.at()].queue.work_ms();
        let by_longest_wait_ms =
            self.max_wait_ms(class, context.settings) as f64 + own_ms * waiting / (waiting + 1.0);
        by_leftover_ms.min(by_longest_wait_ms)
    }

    /// Gives up the newest waiting request of the lowest tier below `class`'s; false: none.
    fn shed_below<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        class: ClassIx,
    ) -> bool {
        let tier = self.class_policy(class).tier;
        let lowest = self.class_order.iter().rev().find(|other| {
            self.class_policy(**other).tier > tier && !self.classes[other.at()].queue.is_empty()
        });
        let newest = lowest.and_then(|other| self.classes[other.at()].queue.shed_candidate());
        let Some(newest) = newest else {
            return false;
        };
        self.give_up(
            context,
            newest,
            RefusalCode::QueueFull,
            NO_CAPACITY_RETRY_MS,
        );
        true
    }

    /// Gives a waiting request its final answer.
    pub(super) fn give_up<L: DecisionLog>(
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
        let least = admission.min_retry_after_ms;
        let most = admission.max_retry_after_ms;
        let retry_after_ms = DurationMs((retry_after_ms.max(0.0) as u64).clamp(least, most));
        refuse(context, request, code, outcome, retry_after_ms);
    }

    /// Forgets a request, wherever it stands.
    pub(super) fn end_request(&mut self, request: RequestId) -> Option<Entry> {
        let mut entry = self.requests.remove(&request)?;
        self.unqueue(request, &entry);
        entry.life.handle(LifecycleEvent::End);
        Some(entry)
    }

    /// Takes a request out of its queue, if it stands there.
    pub(super) fn unqueue(&mut self, request: RequestId, entry: &Entry) {
        let class = &mut self.classes[entry.offer.class.at()];
        if class.queue.remove(request, entry.offer.customer) {
            self.queued -= 1;
        }
    }
}

fn refuse<L: DecisionLog>(
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
    // A call whose outcome isn't known must not be invited to run again, and one that engines
    // reject, or that ends them, would be refused again.
    let is_final = matches!(code, RefusalCode::Rejected | RefusalCode::EndsEngines);
    let may_come_back = outcome != Outcome::Unknown && !is_final;
    let retry_after_ms = may_come_back.then_some(retry_after_ms);
    context.effects.push(Effect::Refuse {
        request,
        code,
        outcome,
        retry_after_ms,
    });
}
