//! The health of one engine: active, ejected for slowness or failure, or on probation.
//!
//! A slow engine does more harm than a dead one, since it still receives requests. An engine is
//! ejected when it is slow compared with its peers, silent, unreachable or refuses requests. It
//! returns through probation with a single slot. Load reports lag and never change the state.

use crate::configs::EngineHealthConfig;
use bridgevane_types::TimeMs;
use derive_more::Display;
use statig::prelude::*;

/// An observation that may change an engine's health.
#[derive(Clone, Copy, Debug)]
pub(crate) enum HealthEvent {
    /// A check found the engine slow or silent; `may_eject` is false when too many of the pool's
    /// engines are out of use.
    Slow { may_eject: bool },
    /// A check found the engine normal.
    Normal,
    /// The engine could not be reached, or crashed.
    Unreachable,
    /// The engine broke off a stream or refused a request. An engine that refuses fast looks idle
    /// and would receive ever more requests.
    Unavailable,
    /// The engine produced this many tokens at normal speed.
    GoodTokens(u64),
    /// Time has passed.
    Tick,
}

/// The context of the state machine's handlers.
pub(crate) struct HealthContext<'a> {
    pub(crate) now: TimeMs,
    pub(crate) config: &'a EngineHealthConfig,
}

/// The health state of an engine, for views and logs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum HealthState {
    /// The engine is in use.
    #[display("active")]
    Active,
    /// The engine receives no requests.
    #[display("ejected")]
    Ejected,
    /// The engine receives few requests, to find out whether it has recovered.
    #[display("probation")]
    Probation,
}

/// The data shared by all states.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// The number of consecutive ejections without a completed probation between them.
    ejections: u32,
    /// The number of refused requests and broken streams since the last tokens at normal speed.
    refusals: u32,
}

impl Health {
    /// Counts an ejection and returns its end.
    fn start_ejection(&mut self, context: &HealthContext<'_>) -> TimeMs {
        let doublings = self.ejections.min(16);
        self.ejections += 1;
        self.refusals = 0;
        let eject_ms = context.config.eject_ms.saturating_mul(1 << doublings);
        TimeMs(context.now.0 + eject_ms.min(context.config.max_eject_ms))
    }
}

#[state_machine(initial = "State::active(0)", state(derive(Debug, Clone, PartialEq)))]
impl Health {
    #[state]
    fn active(
        &mut self,
        context: &mut HealthContext<'_>,
        event: &HealthEvent,
        slow_checks: &mut u32,
    ) -> Outcome<State> {
        match event {
            HealthEvent::Unreachable => Transition(State::ejected(self.start_ejection(context))),
            HealthEvent::Slow { may_eject } => {
                *slow_checks += 1;
                if *may_eject && *slow_checks >= context.config.slow_checks {
                    return Transition(State::ejected(self.start_ejection(context)));
                }
                Handled
            }
            HealthEvent::Unavailable => {
                self.refusals += 1;
                if self.refusals >= context.config.refusals {
                    return Transition(State::ejected(self.start_ejection(context)));
                }
                Handled
            }
            HealthEvent::Normal => {
                *slow_checks = 0;
                Handled
            }
            HealthEvent::GoodTokens(_) => {
                self.refusals = 0;
                Handled
            }
            HealthEvent::Tick => Handled,
        }
    }

    #[state]
    fn ejected(
        context: &mut HealthContext<'_>,
        event: &HealthEvent,
        until: &mut TimeMs,
    ) -> Outcome<State> {
        match event {
            HealthEvent::Tick if context.now >= *until => Transition(State::probation(0)),
            _ => Handled,
        }
    }

    #[state]
    fn probation(
        &mut self,
        context: &mut HealthContext<'_>,
        event: &HealthEvent,
        good_tokens: &mut u64,
    ) -> Outcome<State> {
        match event {
            HealthEvent::Unreachable | HealthEvent::Unavailable | HealthEvent::Slow { .. } => {
                Transition(State::ejected(self.start_ejection(context)))
            }
            HealthEvent::GoodTokens(tokens) => {
                *good_tokens += tokens;
                if *good_tokens < context.config.probation_tokens {
                    return Handled;
                }
                self.ejections = 0;
                Transition(State::active(0))
            }
            HealthEvent::Normal | HealthEvent::Tick => Handled,
        }
    }
}

/// The state machine of one engine.
pub(crate) struct EngineHealth {
    machine: StateMachine<Health>,
}

impl EngineHealth {
    pub(crate) fn new() -> Self {
        Self {
            machine: Health::default().state_machine(),
        }
    }

    /// Handles an event; returns whether it ejected the engine.
    pub(crate) fn handle(&mut self, context: &mut HealthContext<'_>, event: HealthEvent) -> bool {
        let before = self.state();
        self.machine.handle_with_context(&event, context);
        before != HealthState::Ejected && self.state() == HealthState::Ejected
    }

    pub(crate) fn state(&self) -> HealthState {
        match self.machine.state() {
            State::Active { .. } => HealthState::Active,
            State::Ejected { .. } => HealthState::Ejected,
            State::Probation { .. } => HealthState::Probation,
        }
    }
}
