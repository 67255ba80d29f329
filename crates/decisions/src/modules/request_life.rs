//! The life of a request as a state machine: every other module asks it what may happen next.

use bridgevane_types::AttemptNumber;
use derive_more::Display;
use statig::prelude::*;

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LifeEvent {
    /// An attempt is sent.
    Dispatch,
    /// The attempt's first token came.
    FirstToken,
    /// The attempt was taken back or lost; the request waits again.
    Return,
    /// The request is over.
    End,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum LifeState {
    /// It waits for a slot.
    #[display("queued")]
    Queued,
    /// An attempt was sent and has given nothing yet.
    #[display("started")]
    Started,
    /// An attempt streams.
    #[display("streaming")]
    Streaming,
    /// It is over.
    #[display("over")]
    Over,
}

/// What the states share.
#[derive(Debug, Default)]
pub(crate) struct Life {
    attempts: u64,
}

#[state_machine(
    initial = "State::queued()",
    state(derive(Debug, Clone, Copy, PartialEq))
)]
impl Life {
    #[state(superstate = "alive")]
    fn queued(&mut self, event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::Dispatch => {
                self.attempts += 1;
                Transition(State::started())
            }
            _ => Super,
        }
    }

    #[state(superstate = "running")]
    fn started(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::FirstToken => Transition(State::streaming()),
            _ => Super,
        }
    }

    #[state(superstate = "running")]
    fn streaming() -> Outcome<State> {
        Super
    }

    #[superstate(superstate = "alive")]
    fn running(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::Return => Transition(State::queued()),
            _ => Super,
        }
    }

    #[superstate]
    fn alive(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::End => Transition(State::over()),
            _ => Handled,
        }
    }

    #[state]
    fn over() -> Outcome<State> {
        Handled
    }
}

/// The machine of one request.
pub(crate) struct RequestLife {
    machine: StateMachine<Life>,
}

impl RequestLife {
    pub(crate) fn new() -> Self {
        Self {
            machine: Life::default().state_machine(),
        }
    }

    /// A request that another daemon had in flight under `attempt`.
    pub(crate) fn adopted(attempt: AttemptNumber) -> Self {
        let mut life = Self {
            machine: Life {
                attempts: attempt.0,
            }
            .state_machine(),
        };
        life.handle(LifeEvent::Dispatch);
        life
    }

    pub(crate) fn handle(&mut self, event: LifeEvent) {
        self.machine.handle(&event);
    }

    pub(crate) fn state(&self) -> LifeState {
        match self.machine.state() {
            State::Queued {} => LifeState::Queued,
            State::Started {} => LifeState::Started,
            State::Streaming {} => LifeState::Streaming,
            State::Over {} => LifeState::Over,
        }
    }

    /// Attempts that were sent.
    pub(crate) fn attempts(&self) -> u64 {
        self.machine.inner().attempts
    }

    /// The running or latest attempt; the first is 0.
    pub(crate) fn attempt(&self) -> AttemptNumber {
        AttemptNumber(self.attempts().saturating_sub(1))
    }

    pub(crate) fn is_running(&self) -> bool {
        matches!(self.state(), LifeState::Started | LifeState::Streaming)
    }
}
