//! Detection of requests that crash the engines of a pool. The rule is [`crate::crash_count`].

use super::Pool;
use super::entry::RunningAttempt;
use crate::context::PoolContext;
use crate::crash_count::{CrashFact, CrashObservation, ObservationOutcome};
use crate::decision_log::DecisionLog;
use crate::index::EndpointIx;
use crate::modules::request_lifecycle::LifecycleState;
use bridgevane_types::{RefusalCode, RequestFingerprint, RequestId, TimeMs};

/// One incarnation of an engine, which may crash and start again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct EngineIncarnation {
    engine: EndpointIx,
    incarnation: u32,
}

impl Pool {
    /// Records that an engine crashed while it ran this request. If that puts the request under
    /// quarantine, all identical waiting requests are refused.
    pub(super) fn record_crash<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        running: RunningAttempt,
    ) {
        let engine_ix = running.engine;
        let engine = &mut self.engines[engine_ix.index()];
        // Each request that ran there reports the crash; the first report counts.
        if !std::mem::replace(&mut engine.has_crashed, true) {
            engine.incarnation += 1;
        }
        let incarnation = EngineIncarnation {
            engine: engine_ix,
            incarnation: engine.incarnation,
        };
        let Some(fingerprint) = self.fingerprint(request) else {
            return;
        };
        self.crashes.expire(context.now);
        let observation = CrashObservation {
            suspect: fingerprint.into(),
            at: context.now,
            started_at: Some(running.started_at),
            fact: CrashFact::Crashed(incarnation),
        };
        if self.crashes.record(context.now, observation) == ObservationOutcome::NewlyQuarantined {
            self.refuse_identical(context, fingerprint);
        }
    }

    /// Marks an engine as alive after a first token or a complete answer.
    pub(super) fn mark_alive(&mut self, engine_ix: EndpointIx) {
        self.engines[engine_ix.index()].has_crashed = false;
    }

    /// Records a successful answer, which clears the request of earlier crashes.
    pub(super) fn record_served(&mut self, now: TimeMs, fingerprint: Option<RequestFingerprint>) {
        let suspect = fingerprint.filter(|request| self.crashes.is_suspect((*request).into()));
        if let Some(request) = suspect {
            let observation = CrashObservation {
                suspect: request.into(),
                at: now,
                started_at: None,
                fact: CrashFact::Served,
            };
            self.crashes.record(now, observation);
        }
    }

    /// Returns whether a request is under quarantine because it crashes engines.
    pub(super) fn is_quarantined(
        &self,
        now: TimeMs,
        fingerprint: Option<RequestFingerprint>,
    ) -> bool {
        fingerprint.is_some_and(|request| self.crashes.is_quarantined(now, request.into()))
    }

    fn fingerprint(&self, request: RequestId) -> Option<RequestFingerprint> {
        self.requests.get(&request)?.offer.fingerprint
    }

    /// Refuses all waiting requests with the same fingerprint.
    fn refuse_identical<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        fingerprint: RequestFingerprint,
    ) {
        let is_waiting = |request: &RequestId| {
            let entry = &self.requests[request];
            entry.offer.fingerprint == Some(fingerprint)
                && entry.lifecycle.state() == LifecycleState::Queued
        };
        let waiting: Vec<RequestId> = self.requests.keys().copied().filter(is_waiting).collect();
        for request in waiting {
            self.refuse(context, request, RefusalCode::EndsEngines, 0.0);
        }
    }
}
