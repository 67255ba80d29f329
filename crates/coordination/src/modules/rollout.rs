//! A staged change of a model version.
//!
//! The state is a value in the key-value service, so that another node can continue the rollout
//! after the death of its holder. Engines are changed in batches, and each batch is watched before
//! the next one; a high burn rate pauses the rollout, a higher one rolls it back. Orders carry a
//! desired state with a generation, so that they can be repeated.

use bridgevane_types::{DurationMs, EndpointId, ModelName, TimeMs};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use statig::prelude::*;
use std::collections::BTreeSet;

/// The model, versions, engines and limits of a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutPlan {
    /// The model whose version changes.
    pub model: ModelName,
    /// The version before the rollout.
    pub from_version: u64,
    /// The version after the rollout.
    pub to_version: u64,
    /// The engines, in the order in which they change.
    pub engines: Vec<EndpointId>,
    /// The maximum number of engines that change at the same time.
    pub batch: usize,
    /// How long each batch is watched before the next one.
    pub watch_ms: DurationMs,
    /// The burn rate at and above which no further batch starts.
    pub hold_burn: f64,
    /// The burn rate at and above which all engines are rolled back.
    pub rollback_burn: f64,
}

/// The stage of a rollout.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutStage {
    /// A batch loads the new version.
    #[display("loading")]
    Loading,
    /// A batch is watched.
    #[display("watching")]
    Watching,
    /// All engines run the new version.
    #[display("done")]
    Done,
    /// The changed engines load the previous version.
    #[display("rolling back")]
    RollingBack,
    /// All engines run the previous version.
    #[display("rolled back")]
    RolledBack,
}

/// The engines' versions and the burn rate at one point in time.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutObservation {
    /// The time of the observation.
    pub now: TimeMs,
    /// The engines that confirmed the new version.
    pub on_new: BTreeSet<EndpointId>,
    /// The engines that confirmed the previous version.
    pub on_old: BTreeSet<EndpointId>,
    /// The highest burn rate of the classes that the model serves.
    pub burn: f64,
}

/// An order for an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The engine that gets the order.
    pub engine: EndpointId,
    /// The version that the engine has to run.
    pub version: u64,
    /// Generation of the desired state; an engine keeps the state with the highest generation.
    pub generation: u64,
}

/// The data shared by all states of the state machine.
#[derive(Debug)]
struct Progress {
    plan: RolloutPlan,
    /// The number of engines that were ordered to change so far.
    started: usize,
}

impl Progress {
    fn started_engines(&self) -> &[EndpointId] {
        &self.plan.engines[..self.started]
    }

    fn start_batch(&mut self) {
        let next = self.started + self.plan.batch.max(1);
        self.started = next.min(self.plan.engines.len());
    }
}

#[state_machine(
    initial = "State::loading()",
    state(derive(Debug, Clone, Copy, PartialEq))
)]
impl Progress {
    #[state(superstate = "in_progress")]
    fn loading(&mut self, event: &RolloutObservation) -> Outcome<State> {
        if event.burn >= self.plan.rollback_burn {
            return Super;
        }
        if self.started == 0 {
            self.start_batch();
            return Handled;
        }
        let is_loaded = self
            .started_engines()
            .iter()
            .all(|engine| event.on_new.contains(engine));
        if is_loaded {
            return Transition(State::watching(event.now));
        }
        Handled
    }

    #[state(superstate = "in_progress")]
    fn watching(&mut self, event: &RolloutObservation, since: &mut TimeMs) -> Outcome<State> {
        if event.burn >= self.plan.rollback_burn {
            return Super;
        }
        if event.burn >= self.plan.hold_burn {
            // The watch time restarts when the burn rate is below the limit again.
            *since = event.now;
            return Handled;
        }
        if event.now.since(*since) < self.plan.watch_ms {
            return Handled;
        }
        if self.started >= self.plan.engines.len() {
            return Transition(State::done());
        }
        self.start_batch();
        Transition(State::loading())
    }

    #[superstate]
    fn in_progress() -> Outcome<State> {
        Transition(State::rolling_back())
    }

    #[state]
    fn rolling_back(&mut self, event: &RolloutObservation) -> Outcome<State> {
        let is_back = self
            .started_engines()
            .iter()
            .all(|engine| event.on_old.contains(engine));
        if is_back {
            return Transition(State::rolled_back());
        }
        Handled
    }

    #[state]
    fn done() -> Outcome<State> {
        Handled
    }

    #[state]
    fn rolled_back() -> Outcome<State> {
        Handled
    }
}

/// The stored state of a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// The rollout's plan.
    pub plan: RolloutPlan,
    /// The rollout's stage.
    pub stage: RolloutStage,
    /// The number of engines that were ordered to change so far.
    pub started: usize,
    /// Generation of the desired state.
    pub generation: u64,
}

impl Rollout {
    /// Creates a rollout that has changed no engine yet; `generation` must be higher than that of
    /// every earlier rollout.
    pub fn new(plan: RolloutPlan, generation: u64) -> Self {
        Self {
            plan,
            stage: RolloutStage::Loading,
            started: 0,
            generation,
        }
    }

    /// Returns whether the rollout has ended.
    pub fn is_over(&self) -> bool {
        matches!(self.stage, RolloutStage::Done | RolloutStage::RolledBack)
    }

    /// Returns the rollout after an observation; it has to be stored before its orders are sent.
    /// `watched_since` is when this node began to watch the current batch: a node that takes over
    /// restarts the watch time.
    pub fn after_observation(
        &self,
        observation: &RolloutObservation,
        watched_since: TimeMs,
    ) -> Rollout {
        let mut uninitialized = Progress {
            plan: self.plan.clone(),
            started: self.started,
        }
        .uninitialized_state_machine();
        *uninitialized.state_mut() = state_of(self.stage, watched_since);
        let mut machine = uninitialized.init();
        machine.handle(observation);
        let stage = stage_of(machine.state());
        let starts_rollback = stage == RolloutStage::RollingBack && self.stage != stage;
        Rollout {
            plan: self.plan.clone(),
            started: machine.inner().started,
            generation: self.generation + u64::from(starts_rollback),
            stage,
        }
    }

    /// Returns the orders that bring the engines to the desired state. Any holder may send them,
    /// any number of times.
    pub fn orders(&self) -> Vec<RolloutOrder> {
        let version = match self.stage {
            RolloutStage::RollingBack | RolloutStage::RolledBack => self.plan.from_version,
            _ => self.plan.to_version,
        };
        let order = |engine: &EndpointId| RolloutOrder {
            engine: engine.clone(),
            version,
            generation: self.generation,
        };
        self.plan.engines[..self.started]
            .iter()
            .map(order)
            .collect()
    }
}

fn stage_of(state: &State) -> RolloutStage {
    match state {
        State::Loading {} => RolloutStage::Loading,
        State::Watching { .. } => RolloutStage::Watching,
        State::Done {} => RolloutStage::Done,
        State::RollingBack {} => RolloutStage::RollingBack,
        State::RolledBack {} => RolloutStage::RolledBack,
    }
}

fn state_of(stage: RolloutStage, watched_since: TimeMs) -> State {
    match stage {
        RolloutStage::Loading => State::loading(),
        RolloutStage::Watching => State::watching(watched_since),
        RolloutStage::Done => State::done(),
        RolloutStage::RollingBack => State::rolling_back(),
        RolloutStage::RolledBack => State::rolled_back(),
    }
}
