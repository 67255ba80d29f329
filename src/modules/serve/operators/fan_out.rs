//! Sends operators' statements to all daemons of the data centre and collects their answers.

use crate::modules::serve::context::Context;
use crate::modules::serve::leaving::LeavingSource;
use crate::modules::serve::operators::queries::OperatorAnswer;
use crate::modules::serve::operators::query_language::{self, Statement};
use crate::modules::serve::operators::row::Row;
use crate::modules::serve::operators::rows;
use crate::modules::serve::peers::links::LinkHandle;
use crate::modules::serve::peers::membership;
use bridgevane_coordination::MemberState;
use bridgevane_protocol::frame::Body;
use bridgevane_protocol::{Query, QueryAnswer};
use bridgevane_types::VmId;
use bytes::Bytes;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

/// The time limit for the daemons' answers. An operator waits for it; daemons answer within
/// milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// The maximum number of answers that wait to be read: well above the number of daemons in a data
/// centre.
const MAX_ANSWERS: usize = 1_024;

/// Runs a statement on all daemons of the data centre, including this one.
pub(crate) async fn ask_all(context: &Arc<Context>, text: &str) -> OperatorAnswer {
    let query = context.queries.next.fetch_add(1, Ordering::Relaxed);
    let (sender, mut receiver) = mpsc::channel(MAX_ANSWERS);
    context.queries.pending().insert(query, sender);
    let mut expected = BTreeSet::new();
    for (vm, state, _, address) in context.members.other_members() {
        if state == MemberState::Dead {
            continue;
        }
        let frame = Body::Query(Query {
            query,
            text: text.to_owned(),
        });
        context.links.link_to(address).send(frame);
        expected.insert(vm);
    }
    let mut answer = OperatorAnswer::default();
    match answer_locally(context, text).await {
        Ok(rows) => answer.rows = rows,
        Err(error) => answer.error = Some(error),
    }
    answer.answered.push(context.config.vm.clone());
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    while !expected.is_empty() {
        let Ok(Some(part)) = timeout_at(deadline, receiver.recv()).await else {
            break;
        };
        if !expected.remove(&part.vm) {
            continue;
        }
        answer.rows.extend(part.rows);
        answer.answered.push(part.vm);
        if !part.error.is_empty() {
            answer.error.get_or_insert(part.error);
        }
    }
    context.queries.pending().remove(&query);
    answer.answered.sort();
    answer.missing = expected.into_iter().collect();
    answer
}

/// Answers a statement that another daemon has forwarded.
pub(crate) fn on_query(context: &Arc<Context>, link: &LinkHandle, query: Query) {
    let (context, link) = (context.clone(), link.clone());
    tokio::spawn(async move {
        let (rows, error) = match answer_locally(&context, &query.text).await {
            Ok(rows) => (rows, String::new()),
            Err(error) => (Vec::new(), error),
        };
        // Rows are plain JSON values, which can always be serialised.
        let rows = serde_json::to_vec(&rows).unwrap_or_default();
        link.send(Body::QueryAnswer(QueryAnswer {
            query: query.query,
            rows: Bytes::from(rows),
            error,
        }));
    });
}

/// Returns this daemon's part of the answer. The error is a text for the operator.
async fn answer_locally(context: &Arc<Context>, text: &str) -> Result<Vec<Row>, String> {
    let statement = query_language::parse(text).map_err(|error| error.to_string())?;
    match statement {
        Statement::Show { table, conditions } => {
            let rows = rows::rows(context, table, &conditions).await;
            rows.map_err(|error| error.to_string())
        }
        Statement::Explain(request) => Ok(explain(context, request).await),
        Statement::DrainVm { vm, is_drained } => Ok(drain_vm(context, &vm, is_drained)),
        Statement::Set { .. } | Statement::DrainEngine { .. } | Statement::RollOut { .. } => {
            Ok(Vec::new())
        }
    }
}

async fn explain(context: &Arc<Context>, request: bridgevane_types::RequestId) -> Vec<Row> {
    let mut rows = Vec::new();
    for (service, pool) in context.pools.all() {
        for record in pool.explain(request).await {
            rows.push(
                Row::default()
                    .with("vm", context.config.vm.as_str())
                    .with("service", service.as_str())
                    .with("at_ms", record.at.0)
                    .with("decision", record.decision.to_string()),
            );
        }
    }
    rows
}

fn drain_vm(context: &Arc<Context>, vm: &VmId, is_drained: bool) -> Vec<Row> {
    if *vm != context.config.vm {
        return Vec::new();
    }
    if is_drained {
        context.leaving.add_reason(LeavingSource::Drain);
    } else {
        context.leaving.undrain();
    }
    membership::set_leaving(context, context.leaving.is_leaving());
    let row = Row::default()
        .with("vm", vm.as_str())
        .with("leaving", context.leaving.is_leaving())
        .with("in_progress", context.leaving.in_progress());
    vec![row]
}
