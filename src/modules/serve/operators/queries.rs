//! Operators' statements that wait for other daemons' answers.

use crate::modules::serve::operators::row::Row;
use crate::modules::serve::peers::links::Peer;
use bridgevane_protocol::QueryAnswer;
use bridgevane_types::VmId;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::atomic::AtomicU64;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc;

/// What one daemon answered.
pub(super) struct PartAnswer {
    pub(super) vm: VmId,
    pub(super) rows: Vec<Row>,
    pub(super) error: String,
}

/// Statements that wait for answers.
#[derive(Default)]
pub struct Queries {
    waiting: Mutex<HashMap<u64, mpsc::Sender<PartAnswer>>>,
    pub(super) next: AtomicU64,
}

/// What the data centre answered.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Rows of all that answered.
    pub rows: Vec<Row>,
    /// VMs that answered.
    pub answered: Vec<VmId>,
    /// VMs that should have answered and did not: the rows are a part of the whole.
    pub missing: Vec<VmId>,
    /// What went wrong, if anything.
    pub error: Option<String>,
}

impl Queries {
    pub(super) fn waiting(&self) -> MutexGuard<'_, HashMap<u64, mpsc::Sender<PartAnswer>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A daemon has answered.
    pub(crate) fn on_answer(&self, peer: &Peer, answer: QueryAnswer) {
        let part = PartAnswer {
            vm: peer.vm.clone(),
            // Rows of a later version that can't be read are left out.
            rows: serde_json::from_slice(&answer.rows).unwrap_or_default(),
            error: answer.error,
        };
        if let Some(sender) = self.waiting().get(&answer.query) {
            // Who asked may have stopped listening.
            let _ = sender.try_send(part);
        }
    }
}
