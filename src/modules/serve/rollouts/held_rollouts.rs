//! The rollouts that this daemon runs. They are lost with the process, and another daemon continues
//! them.

use crate::modules::serve::operators::row::Row;
use bridgevane_adapters::{KvRevision, LeaseId};
use bridgevane_coordination::{HeldLease, Rollout};
use bridgevane_types::{EndpointId, ModelName, TimeMs, VmId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A rollout that this daemon runs, with its lease.
#[derive(Clone, Debug)]
pub(super) struct HeldRollout {
    pub(super) lease_id: LeaseId,
    pub(super) lease: HeldLease,
    pub(super) rollout: Rollout,
    /// The revision of the stored state; `None`: nothing is stored yet.
    pub(super) stored_revision: Option<KvRevision>,
    pub(super) watched_since: TimeMs,
    /// The engines that confirmed the order to load the new version.
    pub(super) on_new: BTreeSet<EndpointId>,
    /// The engines that confirmed the order to load the old version.
    pub(super) on_old: BTreeSet<EndpointId>,
    /// The tickets of the weight store by version; one ticket serves all engines.
    pub(super) tickets: BTreeMap<u64, String>,
    /// The highest burn rate of all classes at the last step.
    pub(super) burn: f64,
}

/// The rollouts that this daemon runs.
#[derive(Default)]
pub struct Rollouts {
    held: Mutex<BTreeMap<ModelName, HeldRollout>>,
}

impl Rollouts {
    pub(super) fn lock(&self) -> MutexGuard<'_, BTreeMap<ModelName, HeldRollout>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the rows of `show rollouts`.
    pub fn rows(&self, own_vm: &VmId) -> Vec<Row> {
        let row = |(model, held): (&ModelName, &HeldRollout)| {
            let plan = &held.rollout.plan;
            Row::default()
                .with("vm", own_vm.as_str())
                .with("model", model.as_str())
                .with("from_version", plan.from_version)
                .with("to_version", plan.to_version)
                .with("stage", held.rollout.stage.to_string())
                .with("engines", plan.engines.len())
                .with("started", held.rollout.started)
                .with("confirmed", held.on_new.len())
                .with("burn", held.burn)
                .with("fence", held.lease.fence().0)
                .with("generation", held.rollout.generation)
        };
        self.lock().iter().map(row).collect()
    }
}
