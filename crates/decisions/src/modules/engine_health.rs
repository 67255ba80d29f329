//! The health of one engine: in use, ejected for slowness or loss, on probation.
//!
//! A slow engine does more harm than a dead one, since it still draws work. Ejection is by
//! comparison with peers and by silence; return is by probation with a single slot. A load
//! report, which lags, never changes the state.

use crate::configs::EngineHealthConfig;
use bridgevane_types::TimeMs;
use derive_more::Display;
use statig::prelude::*;

/// An observation that may change an engine's health.
#[derive(Clone, Copy, Debug)]
pub(crate) enum HealthEvent {
    /// A check found it slow or silent; the flag tells whether it may be ejected, since only
    /// a part of the pool may be.
    Slow { may_eject: bool },
    /// A check found it normal.
    Normal,
    /// It could not be reached.
    Lost,
    /// It broke off a stream, or answered that it takes no work. An engine that refuses fast looks
    /// idle and would draw ever more work.
    Unavailable,
    /// It gave this many tokens at normal speed.
    GoodTokens(u64),
    /// Time has passed.
    Tick,
}

/// What the machine's handlers get.
pub(crate) struct HealthContext<'a> {
    pub(crate) now: TimeMs,
    pub(crate) config: &'a EngineHealthConfig,
}

/// The state, for views and logs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum HealthState {
    /// In use.
    #[display("active")]
    Active,
    /// Gets no work.
    #[display("ejected")]
    Ejected,
    /// Gets little work, to see whether it is well again.
    #[display("probation")]
    Probation,
}

/// What the states share.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Ejections in a row, without a whole probation between them.
    ejections: u32,
    /// Refusals since it last gave tokens.
    refusals: u32,
}

impl Health {
    fn until(&mut self, context: &HealthContext<'_>) -> TimeMs {
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
            HealthEvent::Lost => Transition(State::ejected(self.until(context))),
            HealthEvent::Slow { may_eject } => {
                *slow_checks += 1;
                if *may_eject && *slow_checks >= context.config.slow_checks {
                    return Transition(State::ejected(self.until(context)));
                }
                Handled
            }
            HealthEvent::Unavailable => {
                self.refusals += 1;
                if self.refusals >= context.config.refusals {
                    return Transition(State::ejected(self.until(context)));
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
            HealthEvent::Lost | HealthEvent::Unavailable | HealthEvent::Slow { .. } => {
                Transition(State::ejected(self.until(context)))
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

/// The machine of one engine.
pub(crate) struct EngineHealth {
    machine: StateMachine<Health>,
}

impl EngineHealth {
    pub(crate) fn new() -> Self {
        Self {
            machine: Health::default().state_machine(),
        }
    }

    /// Tells the machine; true when the engine was ejected by it.
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
