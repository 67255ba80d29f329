//! The operators' statements that wait for other daemons' answers.

use crate::modules::serve::operators::row::Row;
use crate::modules::serve::peers::links::Peer;
use bridgevane_protocol::QueryAnswer;
use bridgevane_types::VmId;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::atomic::AtomicU64;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc;

/// The answer of one daemon.
pub(super) struct PartAnswer {
    pub(super) vm: VmId,
    pub(super) rows: Vec<Row>,
    pub(super) error: String,
}

/// The statements that wait for answers.
#[derive(Default)]
pub struct Queries {
    pending: Mutex<HashMap<u64, mpsc::Sender<PartAnswer>>>,
    pub(super) next: AtomicU64,
}

/// The answer of the data centre's daemons to a statement.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OperatorAnswer {
    /// The rows of all daemons that answered.
    pub rows: Vec<Row>,
    /// The VMs that answered.
    pub answered: Vec<VmId>,
    /// The VMs that didn't answer in time; the rows are incomplete if there are any.
    pub missing: Vec<VmId>,
    /// The first error that a daemon reported, if any.
    pub error: Option<String>,
}

impl Queries {
    pub(super) fn pending(&self) -> MutexGuard<'_, HashMap<u64, mpsc::Sender<PartAnswer>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles another daemon's answer.
    pub(crate) fn on_answer(&self, peer: &Peer, answer: QueryAnswer) {
        let part = PartAnswer {
            vm: peer.vm.clone(),
            // Rows of a newer version that can't be parsed are dropped.
            rows: serde_json::from_slice(&answer.rows).unwrap_or_default(),
            error: answer.error,
        };
        if let Some(sender) = self.pending().get(&answer.query) {
            // The statement may have timed out.
            let _ = sender.try_send(part);
        }
    }
}
