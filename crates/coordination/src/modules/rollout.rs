//! A staged change of a model version.
//!
//! The state is a value in the key-value service, so that another node carries it on after
//! its holder died. Engines are changed in batches; between batches the burn rate is watched;
//! too much burn holds the rollout back or rolls it back. Orders carry a desired state with a
//! generation, so that giving one twice does no harm.

use bridgevane_types::{DurationMs, EndpointId, ModelName, TimeMs};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use statig::prelude::*;
use std::collections::BTreeSet;

/// What a rollout is to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutPlan {
    /// The model.
    pub model: ModelName,
    /// The version that engines run now.
    pub from_version: u64,
    /// The version that they are to run.
    pub to_version: u64,
    /// Engines, in the order of their change.
    pub engines: Vec<EndpointId>,
    /// Engines that change at the same time at most.
    pub batch: usize,
    /// How long each batch is watched before the next one.
    pub watch_ms: DurationMs,
    /// Burn rate from which on no further batch starts.
    pub hold_burn: f64,
    /// Burn rate from which on everything is taken back.
    pub rollback_burn: f64,
}

/// Where a rollout stands.
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
    /// Engines go back to the version before.
    #[display("rolling back")]
    RollingBack,
    /// All engines run the version before.
    #[display("rolled back")]
    RolledBack,
}

/// What is seen at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutObservation {
    /// Now.
    pub now: TimeMs,
    /// Engines that confirmed the new version.
    pub on_new: BTreeSet<EndpointId>,
    /// Engines that confirmed the version before.
    pub on_old: BTreeSet<EndpointId>,
    /// The highest burn rate of the classes that the model serves.
    pub burn: f64,
}

/// An order for an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutEffect {
    /// The engine.
    pub engine: EndpointId,
    /// The version that it is to run.
    pub version: u64,
    /// Generation of the desired state; an engine keeps the highest.
    pub generation: u64,
}

/// What the states share.
#[derive(Debug)]
struct Progress {
    plan: RolloutPlan,
    /// Engines that were ordered to change so far.
    started: usize,
}

impl Progress {
    fn batch(&self) -> &[EndpointId] {
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
    #[state(superstate = "going_on")]
    fn loading(&mut self, event: &RolloutObservation) -> Outcome<State> {
        if event.burn >= self.plan.rollback_burn {
            return Super;
        }
        if self.started == 0 {
            self.start_batch();
            return Handled;
        }
        let is_loaded = self
            .batch()
            .iter()
            .all(|engine| event.on_new.contains(engine));
        if is_loaded {
            return Transition(State::watching(event.now));
        }
        Handled
    }

    #[state(superstate = "going_on")]
    fn watching(&mut self, event: &RolloutObservation, since: &mut TimeMs) -> Outcome<State> {
        if event.burn >= self.plan.rollback_burn {
            return Super;
        }
        if event.burn >= self.plan.hold_burn {
            // The watch begins anew once the burn has gone.
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
    fn going_on() -> Outcome<State> {
        Transition(State::rolling_back())
    }

    #[state]
    fn rolling_back(&mut self, event: &RolloutObservation) -> Outcome<State> {
        let is_back = self
            .batch()
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

/// A rollout as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// What it is to do.
    pub plan: RolloutPlan,
    /// Where it stands.
    pub stage: RolloutStage,
    /// Engines that were ordered to change so far.
    pub started: usize,
    /// Generation of the desired state.
    pub generation: u64,
}

impl Rollout {
    /// A rollout that has changed nothing yet; `generation` is higher than any before.
    pub fn new(plan: RolloutPlan, generation: u64) -> Self {
        Self {
            plan,
            stage: RolloutStage::Loading,
            started: 0,
            generation,
        }
    }

    /// Whether nothing is left to do.
    pub fn is_over(&self) -> bool {
        matches!(self.stage, RolloutStage::Done | RolloutStage::RolledBack)
    }

    /// The rollout after an observation; store it before giving its orders. `watched_since`
    /// is when this node began to watch: a node that takes over watches anew.
    pub fn step(&self, observation: &RolloutObservation, watched_since: TimeMs) -> Rollout {
        let mut entered = Progress {
            plan: self.plan.clone(),
            started: self.started,
        }
        .uninitialized_state_machine();
        *entered.state_mut() = state_of(self.stage, watched_since);
        let mut machine = entered.init();
        machine.handle(observation);
        let stage = stage_of(machine.state());
        let is_turned = stage == RolloutStage::RollingBack && self.stage != stage;
        Rollout {
            plan: self.plan.clone(),
            started: machine.inner().started,
            generation: self.generation + u64::from(is_turned),
            stage,
        }
    }

    /// The orders that bring engines to the desired state. They can be given any number of
    /// times, by any holder.
    pub fn orders(&self) -> Vec<RolloutEffect> {
        let version = match self.stage {
            RolloutStage::RollingBack | RolloutStage::RolledBack => self.plan.from_version,
            _ => self.plan.to_version,
        };
        let order = |engine: &EndpointId| RolloutEffect {
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
