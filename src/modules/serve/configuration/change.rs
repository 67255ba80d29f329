//! Changes of the configuration by operators: compare-and-swap with an operation id.
//!
//! The answer is exact: it took effect, it did not, or nobody can tell yet and the same
//! operation may be sent again. Changes of different sections are carried out one after the
//! other; of two changes of the same section one wins, the other's answer says what changed.

use crate::modules::serve::configuration::accept;
use crate::modules::serve::configuration::follow::CONFIG_KEY;
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

/// How often a change is tried on top of others' changes of other sections. Not measured, chosen
/// because each failed try means that another operator's change went through meanwhile.
const TRIES: u32 = 5;

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ProposedChange {
    /// A statement of the language.
    Statement(Statement),
    /// A whole document, made on top of a version.
    Document(Box<Document>, ConfigVersion),
}

/// Who asks for what.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    /// The operation's id.
    pub operation_id: OperationId,
    /// The operator.
    pub operator: OperatorName,
    /// The change.
    pub change: ProposedChange,
}

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub(crate) enum Decided {
    /// It took effect, now or before.
    TookEffect {
        /// The version that it made.
        version: ConfigVersion,
    },
    /// It changes nothing.
    NoChange,
    /// It did not take effect: another operator changed the same.
    Conflict {
        /// What was accepted meanwhile.
        meanwhile: Vec<AcceptedOperation>,
    },
}

/// Why a proposal was not decided as asked.
#[derive(Debug, Display, Error, From)]
pub(crate) enum ChangeError {
    /// It would make an invalid configuration; it did not take effect.
    #[display("it did not take effect:\n{_0}")]
    Invalid(ConfigProblems),
    /// There is no such class, customer, route, engine or field; it did not take effect.
    #[display("it did not take effect: {what}")]
    #[from(ignore)]
    NoSuch {
        /// What is missing, and what there is.
        #[error(not(source))]
        what: String,
    },
    /// The stored configuration can't be read; it did not take effect.
    #[display("it did not take effect: {_0}")]
    Stored(EnvelopeError),
    /// The platform's service can't be reached; it did not take effect.
    #[display("it did not take effect: {_0}; changes are not possible now, serving goes on")]
    #[from(ignore)]
    Away(KvError),
    /// Nobody can tell.
    #[display("it isn't known whether it took effect ({_0}); send the same operation again")]
    #[from(ignore)]
    Unknown(KvError),
    /// Others' changes came between too often; it did not take effect.
    #[display("it did not take effect: too many changes at once, try again")]
    #[from(ignore)]
    Busy,
}

struct Read {
    envelope: Envelope,
    revision: Option<KvRevision>,
}

/// Carries a proposal out.
///
/// # Errors
/// [`ChangeError`], which tells whether it took effect.
pub async fn propose(context: &Arc<Context>, proposal: Proposal) -> Result<Decided, ChangeError> {
    let mut base = match &proposal.change {
        ProposedChange::Document(_, base) => Some(*base),
        ProposedChange::Statement(_) => None,
    };
    for _ in 0..TRIES {
        let read = read(context).await.map_err(ChangeError::Away)??;
        let based_on = *base.get_or_insert(read.envelope.version);
        let status = read.envelope.status_of(&proposal.operation_id, based_on);
        if let OperationStatus::TookEffect(version) = status {
            return Ok(Decided::TookEffect { version });
        }
        let changed = apply(&proposal.change, &read.envelope.document)?;
        changed.check()?;
        let paths = changed_paths(&read.envelope.document, &changed);
        if paths.is_empty() {
            return Ok(Decided::NoChange);
        }
        let meanwhile = read.envelope.since(based_on);
        if overlaps(&proposal.change, meanwhile, &paths) {
            let meanwhile = meanwhile.to_vec();
            return Ok(Decided::Conflict { meanwhile });
        }
        let next = read.envelope.succeed(
            changed,
            proposal.operation_id.clone(),
            proposal.operator.clone(),
            paths,
        );
        match store(context, &next, read.revision).await? {
            Ok(()) => return Ok(accepted(context, &proposal, next)),
            Err(KvError::Conflict) => {}
            Err(error) if error.may_have_taken_effect() => {
                return resolve(context, &proposal, based_on, error).await;
            }
            Err(error) => return Err(ChangeError::Away(error)),
        }
    }
    Err(ChangeError::Busy)
}

async fn read(context: &Context) -> Result<Result<Read, ChangeError>, KvError> {
    context.metrics.platform_call("get");
    let value = context.platform.get(CONFIG_KEY).await?;
    let Some(value) = value else {
        return Ok(Ok(Read {
            envelope: Envelope::default(),
            revision: None,
        }));
    };
    let envelope = Envelope::parse(&value.text).map_err(ChangeError::Stored);
    Ok(envelope.map(|envelope| Read {
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
    context.metrics.platform_call("cas");
    Ok(context.platform.compare_and_swap(cas).await.map(|_| ()))
}

fn accepted(context: &Arc<Context>, proposal: &Proposal, next: Envelope) -> Decided {
    let version = next.version;
    event!(
        Event::ConfigProposed,
        operator = proposal.operator,
        operation = proposal.operation_id,
        version = version,
    );
    accept::accept_document(context, version, next.document);
    Decided::TookEffect { version }
}

/// The answer was lost: the stored operations tell.
async fn resolve(
    context: &Arc<Context>,
    proposal: &Proposal,
    base: ConfigVersion,
    error: KvError,
) -> Result<Decided, ChangeError> {
    let Ok(Ok(read)) = read(context).await else {
        return Err(ChangeError::Unknown(error));
    };
    match read.envelope.status_of(&proposal.operation_id, base) {
        OperationStatus::TookEffect(version) => {
            accept::accept_document(context, read.envelope.version, read.envelope.document);
            Ok(Decided::TookEffect { version })
        }
        // The write may still be on its way: it can't be ruled out here.
        OperationStatus::DidNot | OperationStatus::TooOldToTell => Err(ChangeError::Unknown(error)),
    }
}

/// Whether someone else changed the same sections since the proposal's base. A whole document
/// replaces everything, so any change overlaps.
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
    let (Ok(before), Ok(after)) = (Sections::of(before), Sections::of(after)) else {
        return Vec::new();
    };
    let delta = before.delta_to(&after, ConfigVersion(0), ConfigVersion(0));
    delta
        .changes
        .into_iter()
        .map(|change| change.path)
        .collect()
}

/// The document after the change.
fn apply(change: &ProposedChange, document: &Document) -> Result<Document, ChangeError> {
    match change {
        ProposedChange::Document(next, _) => Ok((**next).clone()),
        ProposedChange::Statement(statement) => apply_statement(statement, document),
    }
}

fn no_such(what: impl Into<String>) -> ChangeError {
    ChangeError::NoSuch { what: what.into() }
}

fn apply_statement(statement: &Statement, document: &Document) -> Result<Document, ChangeError> {
    match statement {
        Statement::Set {
            target,
            field,
            value,
        } => set(document, target, field, value),
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
                return Err(no_such(format!(
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
        _ => Err(no_such("the statement changes no configuration")),
    }
}

/// A rollout starts from the version that the one before it went to.
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
        .map_err(|_| no_such("the rollout can't be written"))?;
    let mut next = document.clone();
    next.rollout.insert(model.clone(), rollout);
    Ok(next)
}

/// Sets one field by way of TOML, so that each field has the one meaning of the format.
fn set(
    document: &Document,
    target: &Target,
    field: &str,
    value: &Operand,
) -> Result<Document, ChangeError> {
    let mut table = toml::Table::try_from(document).map_err(|_| no_such("the document"))?;
    let entry = find(&mut table, target)?;
    let before = entry.get(field).cloned();
    entry.insert(field.to_owned(), to_toml(value, before.as_ref()));
    let known: Vec<String> = entry.keys().cloned().collect();
    table.try_into().map_err(|error: toml::de::Error| {
        let reason = error.message().replace('\n', " ");
        no_such(format!(
            "{reason}; the fields set now are {}",
            known.join(", ")
        ))
    })
}

fn find<'a>(
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
        return Err(no_such(format!(
            "there is no {family} '{name}'; there are {known}"
        )));
    };
    let Target::Route(_, prefix) = target else {
        return Ok(entry);
    };
    let routes = entry.get_mut("route").and_then(toml::Value::as_array_mut);
    let is_it = |route: &&mut toml::Value| {
        route.get("prefix").and_then(toml::Value::as_str) == Some(prefix.as_str())
    };
    let route = routes.into_iter().flatten().find(is_it);
    let route = route.and_then(toml::Value::as_table_mut);
    route.ok_or_else(|| no_such(format!("'{name}' has no route '{prefix}'")))
}

/// The value in the type that the field has now, else whole numbers as integers.
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

/// The accepted operations that the platform's service holds.
///
/// # Errors
/// [`ChangeError`] when it can't be reached or read.
pub async fn history(context: &Context) -> Result<Vec<AcceptedOperation>, ChangeError> {
    let read = read(context).await.map_err(ChangeError::Away)??;
    Ok(read.envelope.operation)
}
