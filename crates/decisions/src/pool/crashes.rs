//! Requests that end the engines that run them, as the pool sees them. The rule is
//! [`crate::crash_count`].

use super::Pool;
use super::entry::Running;
use crate::context::PoolContext;
use crate::crash_count::{CrashFact, CrashNews, NewsOutcome};
use crate::decision_log::DecisionLog;
use crate::index::EndpointIx;
use crate::modules::request_life::LifecycleState;
use bridgevane_types::{RefusalCode, RequestFingerprint, RequestId, TimeMs};

/// One life of an engine: it may end, and start again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct EngineLife {
    engine: EndpointIx,
    life: u32,
}

impl Pool {
    /// An engine ended while this request ran there. If that proves the request to be the cause, all
    /// equal ones that wait are given up.
    pub(super) fn note_ended<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        request: RequestId,
        running: Running,
    ) {
        let at = running.engine;
        let engine = &mut self.engines[at.at()];
        // Of those that ran there each reports the end.
        if !std::mem::replace(&mut engine.has_ended, true) {
            engine.life += 1;
        }
        let life = EngineLife {
            engine: at,
            life: engine.life,
        };
        let Some(fingerprint) = self.fingerprint(request) else {
            return;
        };
        self.crashes.expire(context.now);
        let news = CrashNews {
            request: fingerprint,
            at: context.now,
            began_at: Some(running.since),
            fact: CrashFact::Crashed(life),
        };
        if self.crashes.take(context.now, news) == NewsOutcome::Quarantines {
            self.give_up_equal(context, fingerprint);
        }
    }

    /// An engine gave a sign of life.
    pub(super) fn note_alive(&mut self, at: EndpointIx) {
        self.engines[at.at()].has_ended = false;
    }

    /// A request was answered well.
    pub(super) fn note_served(&mut self, now: TimeMs, fingerprint: Option<RequestFingerprint>) {
        let suspect = fingerprint.filter(|request| self.crashes.is_suspect(*request));
        if let Some(request) = suspect {
            let news = CrashNews {
                request,
                at: now,
                began_at: None,
                fact: CrashFact::Served,
            };
            self.crashes.take(now, news);
        }
    }

    /// Whether a request ends the engines that run it.
    pub(super) fn is_stopped(&self, now: TimeMs, fingerprint: Option<RequestFingerprint>) -> bool {
        fingerprint.is_some_and(|request| self.crashes.is_quarantined(now, request))
    }

    fn fingerprint(&self, request: RequestId) -> Option<RequestFingerprint> {
        self.requests.get(&request)?.offer.fingerprint
    }

    fn give_up_equal<L: DecisionLog>(
        &mut self,
        context: &mut PoolContext<'_, L>,
        fingerprint: RequestFingerprint,
    ) {
        let is_waiting = |request: &RequestId| {
            let entry = &self.requests[request];
            entry.offer.fingerprint == Some(fingerprint)
                && entry.life.state() == LifecycleState::Queued
        };
        let waiting: Vec<RequestId> = self.requests.keys().copied().filter(is_waiting).collect();
        for request in waiting {
            self.give_up(context, request, RefusalCode::EndsEngines, 0.0);
        }
    }
}
