//! Changes of the configuration by operators: compare-and-swap with an operation id.
//!
//! The answer is exact: the change took effect, it did not, or its outcome is unknown and the same
//! operation may be sent again. Concurrent changes of different sections are applied one after the
//! other. Of two changes of the same section one takes effect; the answer to the other lists what
//! changed meanwhile.

use crate::modules::serve::configuration::accept;
use crate::modules::serve::configuration::watch::CONFIG_KEY;
use crate::modules::serve::context::Context;
use crate::modules::serve::operators::query_language::{Operand, Statement, Target};
use bridgevane_adapters::{KeyValue, KvCas, KvError, KvRevision};
use bridgevane_config::{
    AcceptedOperation, ConfigProblems, Document, Envelope, EnvelopeError, OperationStatus, Sections,
};
use bridgevane_events::{Event, event};
use bridgevane_types::{ConfigVersion, DurationMs, ModelName, OperationId, OperatorName};
use derive_more::{Display, Error, From};
use serde::Serialize;
use std::sync::Arc;

/// The maximum number of attempts to apply a change. Each failed attempt means that another
/// operator's change of other sections took effect meanwhile.
const MAX_ATTEMPTS: u32 = 5;

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ProposedChange {
    /// A statement of the operators' query language.
    Statement(Statement),
    /// A complete document, and the version that it is based on.
    Document(Box<Document>, ConfigVersion),
}

/// A change, with the operator who proposes it.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    /// The id of the operation; the same id may be sent again.
    pub operation_id: OperationId,
    /// The proposing operator.
    pub operator: OperatorName,
    /// The proposed change.
    pub change: ProposedChange,
}

/// The outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub(crate) enum ProposalOutcome {
    /// The change took effect, now or when it was sent before.
    TookEffect {
        /// The version that the change created.
        version: ConfigVersion,
    },
    /// The proposal doesn't change the configuration.
    NoChange,
    /// The change did not take effect: another operator changed the same sections.
    Conflict {
        /// The operations that were accepted since the base version.
        meanwhile: Vec<AcceptedOperation>,
    },
}

/// An error of a proposal; each variant states whether the change took effect.
#[derive(Debug, Display, Error, From)]
pub(crate) enum ChangeError {
    /// The change would make the configuration invalid; it did not take effect.
    #[display("it did not take effect:\n{_0}")]
    Invalid(ConfigProblems),
    /// The class, customer, route, engine or field doesn't exist; the change did not take effect.
    #[display("it did not take effect: {what}")]
    #[from(ignore)]
    NotFound {
        /// The problem, with the existing names if a name is missing.
        #[error(not(source))]
        what: String,
    },
    /// The stored configuration can't be read; the change did not take effect.
    #[display("it did not take effect: {_0}")]
    InvalidStoredConfig(EnvelopeError),
    /// The platform's service is unavailable; the change did not take effect.
    #[display("it did not take effect: {_0}; changes are not possible now, serving goes on")]
    #[from(ignore)]
    Unavailable(KvError),
    /// The answer of the platform's service was lost: the outcome is unknown.
    #[display("it isn't known whether it took effect ({_0}); send the same operation again")]
    #[from(ignore)]
    Unknown(KvError),
    /// Too many concurrent changes; the change did not take effect.
    #[display("it did not take effect: too many changes at once, try again")]
    #[from(ignore)]
    Contended,
}

/// The stored configuration and its revision.
struct StoredConfig {
    envelope: Envelope,
    revision: Option<KvRevision>,
}

/// Applies a proposal to the stored configuration.
///
/// # Errors
/// Returns a [`ChangeError`], which states whether the change took effect.
pub async fn propose(
    context: &Arc<Context>,
    proposal: Proposal,
) -> Result<ProposalOutcome, ChangeError> {
    let mut base = match &proposal.change {
        ProposedChange::Document(_, base) => Some(*base),
        ProposedChange::Statement(_) => None,
    };
    for _ in 0..MAX_ATTEMPTS {
        let stored = read_stored(context)
            .await
            .map_err(ChangeError::Unavailable)??;
        let based_on = *base.get_or_insert(stored.envelope.version);
        let status = stored.envelope.status_of(&proposal.operation_id, based_on);
        if let OperationStatus::TookEffect(version) = status {
            return Ok(ProposalOutcome::TookEffect { version });
        }
        let changed = apply(&proposal.change, &stored.envelope.document)?;
        changed.check()?;
        let paths = changed_paths(&stored.envelope.document, &changed);
        if paths.is_empty() {
            return Ok(ProposalOutcome::NoChange);
        }
        let meanwhile = stored.envelope.operations_since(based_on);
        if overlaps(&proposal.change, meanwhile, &paths) {
            let meanwhile = meanwhile.to_vec();
            return Ok(ProposalOutcome::Conflict { meanwhile });
        }
        let next = stored.envelope.with_operation(
            changed,
            proposal.operation_id.clone(),
            proposal.operator.clone(),
            paths,
        );
        match store(context, &next, stored.revision).await? {
            Ok(()) => return Ok(accept_stored(context, &proposal, next)),
            Err(KvError::Conflict) => {}
            Err(error) if error.may_have_taken_effect() => {
                return resolve_lost_answer(context, &proposal, based_on, error).await;
            }
            Err(error) => return Err(ChangeError::Unavailable(error)),
        }
    }
    Err(ChangeError::Contended)
}

async fn read_stored(context: &Context) -> Result<Result<StoredConfig, ChangeError>, KvError> {
    context.metrics.count_platform_call("get");
    let value = context.platform.get(CONFIG_KEY).await?;
    let Some(value) = value else {
        return Ok(Ok(StoredConfig {
            envelope: Envelope::default(),
            revision: None,
        }));
    };
    let envelope = Envelope::parse(&value.text).map_err(ChangeError::InvalidStoredConfig);
    Ok(envelope.map(|envelope| StoredConfig {
        envelope,
        revision: Some(value.revision),
    }))
}

async fn store(
    context: &Context,
    next: &Envelope,
    expected: Option<KvRevision>,
) -> Result<Result<(), KvError>, ChangeError> {
    let cas = KvCas {
        key: CONFIG_KEY.to_owned(),
        expected,
        text: Some(next.to_text()?),
        lease: None,
    };
    context.metrics.count_platform_call("cas");
    Ok(context.platform.compare_and_swap(cas).await.map(|_| ()))
}

fn accept_stored(context: &Arc<Context>, proposal: &Proposal, next: Envelope) -> ProposalOutcome {
    let version = next.version;
    event!(
        Event::ConfigProposed,
        operator = proposal.operator,
        operation = proposal.operation_id,
        version = version,
    );
    accept::accept_document(context, version, next.document);
    ProposalOutcome::TookEffect { version }
}

/// Looks up the outcome of a change whose answer was lost in the stored operations.
async fn resolve_lost_answer(
    context: &Arc<Context>,
    proposal: &Proposal,
    base: ConfigVersion,
    error: KvError,
) -> Result<ProposalOutcome, ChangeError> {
    let Ok(Ok(stored)) = read_stored(context).await else {
        return Err(ChangeError::Unknown(error));
    };
    match stored.envelope.status_of(&proposal.operation_id, base) {
        OperationStatus::TookEffect(version) => {
            accept::accept_document(context, stored.envelope.version, stored.envelope.document);
            Ok(ProposalOutcome::TookEffect { version })
        }
        // The write may still arrive at the platform, so its absence proves nothing.
        OperationStatus::NoEffect | OperationStatus::NotRemembered => {
            Err(ChangeError::Unknown(error))
        }
    }
}

/// Whether an operation since the proposal's base version changed the same sections. A complete
/// document replaces everything, so it overlaps with any change.
fn overlaps(change: &ProposedChange, meanwhile: &[AcceptedOperation], paths: &[String]) -> bool {
    match change {
        ProposedChange::Document(..) => !meanwhile.is_empty(),
        ProposedChange::Statement(_) => {
            let changed = meanwhile.iter().flat_map(|operation| &operation.changed);
            changed.into_iter().any(|path| paths.contains(path))
        }
    }
}

fn changed_paths(before: &Document, after: &Document) -> Vec<String> {
    let (Ok(before), Ok(after)) = (
        Sections::from_document(before),
        Sections::from_document(after),
    ) else {
        return Vec::new();
    };
    let delta = before.delta_to(&after, ConfigVersion(0), ConfigVersion(0));
    delta
        .changes
        .into_iter()
        .map(|change| change.path)
        .collect()
}

/// Returns the document after the change.
fn apply(change: &ProposedChange, document: &Document) -> Result<Document, ChangeError> {
    match change {
        ProposedChange::Document(next, _) => Ok((**next).clone()),
        ProposedChange::Statement(statement) => apply_statement(statement, document),
    }
}

fn not_found(what: impl Into<String>) -> ChangeError {
    ChangeError::NotFound { what: what.into() }
}

fn apply_statement(statement: &Statement, document: &Document) -> Result<Document, ChangeError> {
    match statement {
        Statement::Set {
            target,
            field,
            value,
        } => set_field(document, target, field, value),
        Statement::DrainEngine {
            service,
            engine,
            is_drained,
        } => {
            let mut next = document.clone();
            let found = next
                .service
                .get_mut(service)
                .and_then(|service| service.engine.get_mut(engine));
            let Some(found) = found else {
                return Err(not_found(format!(
                    "there is no engine '{engine}' in '{service}'"
                )));
            };
            found.drained = *is_drained;
            Ok(next)
        }
        Statement::RollOut {
            model,
            version,
            batch,
            watch_ms,
        } => roll_out(document, model, *version, *batch, *watch_ms),
        _ => Err(not_found("the statement changes no configuration")),
    }
}

/// Returns the document with a new rollout, which starts from the target version of the previous
/// one.
fn roll_out(
    document: &Document,
    model: &ModelName,
    to_version: u64,
    batch: Option<u64>,
    watch_ms: Option<DurationMs>,
) -> Result<Document, ChangeError> {
    let before = document.rollout.get(model);
    let from_version = before.map_or(0, |before| match before.to_version == to_version {
        true => before.from_version,
        false => before.to_version,
    });
    let mut entry = toml::Table::new();
    entry.insert(
        "from_version".into(),
        toml::Value::Integer(from_version as i64),
    );
    entry.insert("to_version".into(), toml::Value::Integer(to_version as i64));
    if let Some(batch) = batch {
        entry.insert("batch".into(), toml::Value::Integer(batch as i64));
    }
    if let Some(watch_ms) = watch_ms {
        entry.insert("watch_ms".into(), toml::Value::Integer(watch_ms.0 as i64));
    }
    let rollout = entry
        .try_into()
        .map_err(|_| not_found("the rollout can't be written"))?;
    let mut next = document.clone();
    next.rollout.insert(model.clone(), rollout);
    Ok(next)
}

/// Sets one field in the TOML form of the document, so that values are parsed as in a file.
fn set_field(
    document: &Document,
    target: &Target,
    field: &str,
    value: &Operand,
) -> Result<Document, ChangeError> {
    let mut table = toml::Table::try_from(document).map_err(|_| not_found("the document"))?;
    let entry = find_entry(&mut table, target)?;
    let before = entry.get(field).cloned();
    let known: Vec<String> = entry.keys().cloned().collect();
    entry.insert(field.to_owned(), to_toml(value, before.as_ref()));
    table.try_into().map_err(|error: toml::de::Error| {
        let reason = error.message().replace('\n', " ");
        not_found(format!(
            "{reason}; the fields set now are {}",
            known.join(", ")
        ))
    })
}

fn find_entry<'a>(
    table: &'a mut toml::Table,
    target: &Target,
) -> Result<&'a mut toml::Table, ChangeError> {
    let (family, name) = match target {
        Target::Class(name) => ("class", name.clone()),
        Target::Customer(name) => ("customer", name.clone()),
        Target::Route(service, _) => ("service", service.to_string()),
    };
    let entries = table.get_mut(family).and_then(toml::Value::as_table_mut);
    let names = entries.as_ref().map_or_else(Vec::new, |entries| {
        entries.keys().take(10).cloned().collect::<Vec<_>>()
    });
    let entry = entries
        .and_then(|entries| entries.get_mut(&name))
        .and_then(toml::Value::as_table_mut);
    let Some(entry) = entry else {
        let known = names.join(", ");
        return Err(not_found(format!(
            "there is no {family} '{name}'; there are {known}"
        )));
    };
    let Target::Route(_, prefix) = target else {
        return Ok(entry);
    };
    let routes = entry.get_mut("route").and_then(toml::Value::as_array_mut);
    let has_prefix = |route: &&mut toml::Value| {
        route.get("prefix").and_then(toml::Value::as_str) == Some(prefix.as_str())
    };
    let route = routes.into_iter().flatten().find(has_prefix);
    let route = route.and_then(toml::Value::as_table_mut);
    route.ok_or_else(|| not_found(format!("'{name}' has no route '{prefix}'")))
}

/// Converts a value to TOML: `true` and `false` to booleans, and whole numbers to integers unless
/// the field holds a float now.
fn to_toml(value: &Operand, before: Option<&toml::Value>) -> toml::Value {
    match value {
        Operand::Text(text) if text == "true" || text == "false" => {
            toml::Value::Boolean(text == "true")
        }
        Operand::Text(text) => toml::Value::String(text.clone()),
        Operand::Number(number) => {
            let is_float = matches!(before, Some(toml::Value::Float(_)));
            if number.fract() == 0.0 && !is_float {
                return toml::Value::Integer(*number as i64);
            }
            toml::Value::Float(*number)
        }
    }
}

/// Returns the accepted operations that the platform's service holds.
///
/// # Errors
/// Returns a [`ChangeError`] when the configuration can't be reached or read.
pub async fn history(context: &Context) -> Result<Vec<AcceptedOperation>, ChangeError> {
    let stored = read_stored(context)
        .await
        .map_err(ChangeError::Unavailable)??;
    Ok(stored.envelope.operation)
}
