//! The lifecycle of a request as a state machine. Other modules check its state before they act.

use bridgevane_types::AttemptNumber;
use derive_more::Display;
use statig::prelude::*;

/// An event in the lifecycle of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LifecycleEvent {
    /// An attempt is sent to an engine.
    Dispatch,
    /// The first token of the attempt arrived.
    FirstToken,
    /// The attempt was cancelled or lost; the request waits again.
    Requeue,
    /// The request has its final answer, or its caller disconnected.
    End,
}

/// The state of a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum LifecycleState {
    /// The request waits for a slot.
    #[display("queued")]
    Queued,
    /// An attempt was sent and has produced no token yet.
    #[display("started")]
    Started,
    /// An attempt streams its answer.
    #[display("streaming")]
    Streaming,
    /// The request is over.
    #[display("over")]
    Over,
}

/// The data shared by all states.
#[derive(Debug, Default)]
pub(crate) struct Lifecycle {
    attempts: u64,
}

#[state_machine(
    initial = "State::queued()",
    state(derive(Debug, Clone, Copy, PartialEq))
)]
impl Lifecycle {
    #[state(superstate = "alive")]
    fn queued(&mut self, event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Dispatch => {
                self.attempts += 1;
                Transition(State::started())
            }
            _ => Super,
        }
    }

    #[state(superstate = "running")]
    fn started(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::FirstToken => Transition(State::streaming()),
            _ => Super,
        }
    }

    #[state(superstate = "running")]
    fn streaming() -> Outcome<State> {
        Super
    }

    #[superstate(superstate = "alive")]
    fn running(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Requeue => Transition(State::queued()),
            _ => Super,
        }
    }

    #[superstate]
    fn alive(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::End => Transition(State::over()),
            _ => Handled,
        }
    }

    #[state]
    fn over() -> Outcome<State> {
        Handled
    }
}

/// The state machine of one request.
pub(crate) struct RequestLifecycle {
    machine: StateMachine<Lifecycle>,
}

impl RequestLifecycle {
    pub(crate) fn new() -> Self {
        Self {
            machine: Lifecycle::default().state_machine(),
        }
    }

    /// Creates the lifecycle of a request that another daemon dispatched as `attempt`.
    pub(crate) fn adopted(attempt: AttemptNumber) -> Self {
        let mut lifecycle = Self {
            machine: Lifecycle {
                attempts: attempt.0,
            }
            .state_machine(),
        };
        lifecycle.handle(LifecycleEvent::Dispatch);
        lifecycle
    }

    pub(crate) fn handle(&mut self, event: LifecycleEvent) {
        self.machine.handle(&event);
    }

    pub(crate) fn state(&self) -> LifecycleState {
        match self.machine.state() {
            State::Queued {} => LifecycleState::Queued,
            State::Started {} => LifecycleState::Started,
            State::Streaming {} => LifecycleState::Streaming,
            State::Over {} => LifecycleState::Over,
        }
    }

    /// Returns the number of attempts that were sent.
    pub(crate) fn attempts(&self) -> u64 {
        self.machine.inner().attempts
    }

    /// Returns the running or latest attempt; the first is 0.
    pub(crate) fn attempt(&self) -> AttemptNumber {
        AttemptNumber(self.attempts().saturating_sub(1))
    }

    pub(crate) fn is_running(&self) -> bool {
        matches!(
            self.state(),
            LifecycleState::Started | LifecycleState::Streaming
        )
    }
}
