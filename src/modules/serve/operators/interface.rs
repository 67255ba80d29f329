//! The operators' HTTP interface: it runs statements and accepts configurations. Operators
//! authenticate with a bearer token.

use crate::modules::serve::configuration::change::{
    self, ChangeError, Proposal, ProposalOutcome, ProposedChange,
};
use crate::modules::serve::context::Context;
use crate::modules::serve::operators::fan_out;
use crate::modules::serve::operators::queries::OperatorAnswer;
use crate::modules::serve::operators::query_language::{self, Statement, Table};
use crate::modules::serve::operators::row::Row;
use crate::modules::serve::operators::rows;
use axum::extract::{DefaultBodyLimit, State};
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use bridgevane_config::Document;
use bridgevane_events::{Event, event};
use bridgevane_types::{ConfigVersion, OperationId, OperatorName};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::sync::Arc;

/// The maximum size of a request body, and so of a configuration: the platform's size limit of a
/// value.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The request of an operator: a statement or a document.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct OperatorRequest {
    /// A statement of the query language.
    #[serde(default)]
    pub statement: Option<String>,
    /// A complete configuration, in place of a statement.
    #[serde(default)]
    pub document: Option<String>,
    /// The version that the document is based on.
    #[serde(default)]
    pub base_version: Option<ConfigVersion>,
    /// The id of an operation that changes the configuration. The same id may be sent again.
    #[serde(default)]
    pub operation_id: Option<OperationId>,
}

/// Returns the router of the operators' HTTP interface.
pub fn router(context: Arc<Context>) -> Router {
    Router::new()
        .route("/v1/ask", post(ask))
        .route("/v1/config", get(config))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(context)
}

/// Compares two tokens of equal length in constant time, so that the time doesn't show how much of
/// a token was right.
fn is_same(a: &str, b: &str) -> bool {
    let differs = a
        .bytes()
        .zip(b.bytes())
        .fold(0, |differs, (a, b)| differs | (a ^ b));
    a.len() == b.len() && differs == 0
}

fn operator_of(context: &Context, headers: &HeaderMap) -> Option<OperatorName> {
    // A header that isn't visible ASCII holds no token and is refused.
    let header = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let token = header.strip_prefix("Bearer ")?;
    let known = context.config.operators.iter();
    let found = known.into_iter().find(|known| is_same(&known.token, token));
    found.map(|found| found.operator.clone())
}

fn error(status: StatusCode, text: String) -> Response {
    (status, Json(json!({ "error": text }))).into_response()
}

fn refuse() -> Response {
    error(
        StatusCode::UNAUTHORIZED,
        "no operator has this token".into(),
    )
}

/// Returns the configuration in force in the format that operators edit.
async fn config(State(context): State<Arc<Context>>, headers: HeaderMap) -> Response {
    if operator_of(&context, &headers).is_none() {
        return refuse();
    }
    let Some(in_force) = context.in_force.load() else {
        return error(
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration yet".into(),
        );
    };
    match toml::to_string(&in_force.document) {
        Ok(document) => {
            Json(json!({ "version": in_force.version, "document": document })).into_response()
        }
        Err(problem) => error(StatusCode::INTERNAL_SERVER_ERROR, problem.to_string()),
    }
}

async fn ask(
    State(context): State<Arc<Context>>,
    headers: HeaderMap,
    Json(request): Json<OperatorRequest>,
) -> Response {
    let Some(operator) = operator_of(&context, &headers) else {
        return refuse();
    };
    if let Some(text) = &request.document {
        return propose_document(&context, operator, &request, text).await;
    }
    let Some(text) = &request.statement else {
        return error(
            StatusCode::BAD_REQUEST,
            "give a statement or a document".into(),
        );
    };
    match query_language::parse(text) {
        Err(problem) => error(StatusCode::BAD_REQUEST, problem.to_string()),
        Ok(Statement::Show {
            table: Table::History,
            ..
        }) => history(&context).await,
        Ok(
            statement @ (Statement::Set { .. }
            | Statement::DrainEngine { .. }
            | Statement::RollOut { .. }),
        ) => {
            let change = ProposedChange::Statement(statement);
            propose(&context, operator, &request, change, text).await
        }
        Ok(Statement::DrainVm { vm, .. }) => {
            let answer = fan_out::ask_all(&context, text).await;
            event!(
                Event::OperatorCommand,
                operator = operator,
                statement = text
            );
            drain_response(&vm, answer)
        }
        Ok(statement) => {
            let mut answer = fan_out::ask_all(&context, text).await;
            if let Statement::Show { table, .. } = statement {
                answer.rows = rows::merge(&context, table, answer.rows);
            }
            Json(answer).into_response()
        }
    }
}

/// Returns the answer to a drain, which took effect only if the drained VM confirmed it.
fn drain_response(vm: &bridgevane_types::VmId, answer: OperatorAnswer) -> Response {
    if !answer.rows.is_empty() {
        return Json(answer).into_response();
    }
    let text = format!("'{vm}' did not answer: it isn't known whether it took effect");
    if answer.missing.contains(vm) {
        return error(StatusCode::GATEWAY_TIMEOUT, text);
    }
    error(
        StatusCode::NOT_FOUND,
        format!("there is no VM '{vm}' in this data centre"),
    )
}

async fn history(context: &Context) -> Response {
    match change::history(context).await {
        Ok(operations) => {
            let row = |operation: bridgevane_config::AcceptedOperation| {
                Row::default()
                    .with("version", operation.version.0)
                    .with("operator", operation.operator.as_str())
                    .with("operation", operation.operation_id.as_str())
                    .with("changed", operation.changed.join(" "))
            };
            let answer = OperatorAnswer {
                rows: operations.into_iter().map(row).collect(),
                ..OperatorAnswer::default()
            };
            Json(answer).into_response()
        }
        Err(problem) => change_error(&problem),
    }
}

async fn propose_document(
    context: &Arc<Context>,
    operator: OperatorName,
    request: &OperatorRequest,
    text: &str,
) -> Response {
    let document = match Document::parse(text) {
        Ok(document) => document,
        Err(problems) => return error(StatusCode::BAD_REQUEST, problems.to_string()),
    };
    let Some(base) = request.base_version else {
        let what = "give the version that the document was made on".into();
        return error(StatusCode::BAD_REQUEST, what);
    };
    let change = ProposedChange::Document(Box::new(document), base);
    propose(context, operator, request, change, "document").await
}

async fn propose(
    context: &Arc<Context>,
    operator: OperatorName,
    request: &OperatorRequest,
    change: ProposedChange,
    text: &str,
) -> Response {
    let Some(operation_id) = request.operation_id.clone() else {
        return error(
            StatusCode::BAD_REQUEST,
            "a change needs an operation_id".into(),
        );
    };
    event!(
        Event::OperatorCommand,
        operator = operator,
        operation = operation_id,
        statement = text
    );
    let proposal = Proposal {
        operation_id,
        operator,
        change,
    };
    match change::propose(context, proposal).await {
        Ok(decided @ ProposalOutcome::Conflict { .. }) => {
            (StatusCode::CONFLICT, Json(decided)).into_response()
        }
        Ok(decided) => Json(decided).into_response(),
        Err(problem) => change_error(&problem),
    }
}

fn change_error(problem: &ChangeError) -> Response {
    let status = match problem {
        ChangeError::Invalid(_) | ChangeError::NotFound { .. } => StatusCode::BAD_REQUEST,
        ChangeError::InvalidStoredConfig(_) => StatusCode::INTERNAL_SERVER_ERROR,
        ChangeError::Unavailable(_) | ChangeError::Contended => StatusCode::SERVICE_UNAVAILABLE,
        ChangeError::Unknown(_) => StatusCode::GATEWAY_TIMEOUT,
    };
    error(status, problem.to_string())
}
