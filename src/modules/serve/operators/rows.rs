//! The rows of the operators' tables that this daemon contributes.

use crate::modules::serve::context::Context;
use crate::modules::serve::observation::service_levels::{Counts, FirstTokens};
use crate::modules::serve::operators::query_language::{Condition, Table};
use crate::modules::serve::operators::row::{HISTOGRAM_FIELD, Row};
use crate::modules::serve::pools::homes;
use bridgevane_config::{ClassConfig, CustomerConfig};
use bridgevane_types::{ClassName, CustomerId, DurationMs};
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Returns the rows of `table` that meet all conditions.
///
/// # Errors
/// Returns [`UnknownField`] when a condition names a field that a row doesn't have.
pub async fn rows(
    context: &Arc<Context>,
    table: Table,
    conditions: &[Condition],
) -> Result<Vec<Row>, UnknownField> {
    let rows = match table {
        Table::Requests => requests(context).await,
        Table::Engines => engines(context).await,
        Table::Vms => vms(context).await,
        Table::Classes => classes(context).await,
        Table::Burn => burn(context),
        Table::Customers => customers(context).await,
        Table::Rollouts => context.rollouts.rows(&context.config.vm),
        Table::Config => config(context).await,
        Table::History => Vec::new(),
    };
    let mut found = Vec::new();
    for row in rows {
        let mut meets_all = true;
        for condition in conditions {
            let unknown = || unknown_field(&condition.field, &row);
            meets_all &= row.meets(condition).ok_or_else(unknown)?;
        }
        if meets_all {
            found.push(row);
        }
    }
    Ok(found)
}

/// The error of a condition on a field that the table doesn't have.
#[derive(Clone, Debug, derive_more::Display, derive_more::Error, PartialEq, Eq)]
#[display("there is no field '{field}'; the fields are {known}")]
pub(crate) struct UnknownField {
    /// The unknown name.
    pub field: String,
    /// The names of the existing fields.
    pub known: String,
}

fn unknown_field(field: &str, row: &Row) -> UnknownField {
    let names: Vec<&str> = row.fields.iter().map(|field| field.name.as_str()).collect();
    UnknownField {
        field: field.to_owned(),
        known: names.join(", "),
    }
}

/// Returns a row that begins with this daemon's VM.
fn vm_row(context: &Context) -> Row {
    Row::default().with("vm", context.config.vm.as_str())
}

async fn requests(context: &Arc<Context>) -> Vec<Row> {
    let mut rows = Vec::new();
    for (service, pool) in context.pools.all() {
        let Some(view) = pool.view().await else {
            continue;
        };
        for request in view.requests {
            let customer = request.customer.map(|customer| customer.to_string());
            let engine = request.engine.map(|engine| engine.to_string());
            rows.push(
                vm_row(context)
                    .with("request", request.request.to_string())
                    .with("service", service.as_str())
                    .with("class", request.class.as_str())
                    .with("customer", customer)
                    .with("state", request.state)
                    .with("engine", engine)
                    .with("age_ms", request.age_ms.0)
                    .with("attempts", request.attempts)
                    .with("delivered_tokens", request.delivered.0)
                    .with("expected_rest_tokens", request.expected_remaining_tokens.0),
            );
        }
    }
    rows
}

async fn engines(context: &Arc<Context>) -> Vec<Row> {
    let mut rows = Vec::new();
    for (service, pool) in context.pools.all() {
        // Only the home of a pool knows the state of its engines; other daemons know only their own
        // decisions.
        if !homes::is_home(context, &service) {
            continue;
        }
        let Some(view) = pool.view().await else {
            continue;
        };
        for engine in view.engines {
            rows.push(
                vm_row(context)
                    .with("service", service.as_str())
                    .with("engine", engine.engine.as_str())
                    .with("health", engine.health.to_string())
                    .with("drained", engine.is_drained)
                    .with("in_flight", engine.in_flight.0)
                    .with("limit", engine.limit.0)
                    .with("between_tokens_ms", engine.between_tokens_ms.round()),
            );
        }
    }
    rows
}

async fn vms(context: &Arc<Context>) -> Vec<Row> {
    let (version, highest) = context.replica.versions();
    vec![
        vm_row(context)
            .with("data_centre", context.config.data_centre.as_str())
            .with("leaving", context.leaving.is_leaving())
            .with("ready", context.replica.may_serve())
            .with("in_progress", context.leaving.in_progress())
            .with("config_version", version.0)
            .with("highest_version", highest.0)
            .with("platform_away", context.replica.is_platform_unavailable())
            .with("live_members", context.members.live().live.len())
            .with("incarnation", context.incarnation.0),
    ]
}

/// The window of `show classes`: the middle window of the burn rate.
const CLASS_WINDOW: DurationMs = DurationMs(3_600_000);

async fn classes(context: &Arc<Context>) -> Vec<Row> {
    let Some(in_force) = context.in_force.load() else {
        return Vec::new();
    };
    let counts = context
        .service_levels
        .counts_in(context.now(), CLASS_WINDOW);
    let mut queued = BTreeMap::new();
    for (_, pool) in context.pools.all() {
        let Some(view) = pool.view().await else {
            continue;
        };
        for class in view.classes {
            *queued.entry(class.class).or_insert(0) += class.queued;
        }
    }
    let class_row = |(name, class): (&ClassName, &ClassConfig)| {
        // A class without requests has no counts.
        let counts = counts.get(name).copied().unwrap_or_default();
        vm_row(context)
            .with("class", name.as_str())
            .with("tier", class.tier.0)
            .with_counts(&counts)
            .with("attainment", counts.attainment().0)
            .with("burn", counts.burn_rate(class.objective))
            // A class without an entry has no queued requests.
            .with("queued", queued.get(name).copied().unwrap_or(0))
            .with("objective", class.objective.0)
    };
    in_force.document.class.iter().map(class_row).collect()
}

/// The fast window of `show burn`, five minutes. It shows a new fault soonest.
const FAST_WINDOW: DurationMs = DurationMs(300_000);
/// The usual window, an hour. Alerts on burn rates use it.
const USUAL_WINDOW: DurationMs = DurationMs(3_600_000);
/// The slow window, six hours. It shows faults that use up the error budget slowly.
const SLOW_WINDOW: DurationMs = DurationMs(21_600_000);
/// The windows of `show burn`.
pub(crate) const BURN_WINDOWS: [DurationMs; 3] = [FAST_WINDOW, USUAL_WINDOW, SLOW_WINDOW];

fn burn(context: &Arc<Context>) -> Vec<Row> {
    let Some(in_force) = context.in_force.load() else {
        return Vec::new();
    };
    let mut rows = Vec::new();
    for window_ms in BURN_WINDOWS {
        let counts = context.service_levels.counts_in(context.now(), window_ms);
        let first_tokens = context
            .service_levels
            .first_tokens(context.now(), window_ms);
        for (name, class) in &in_force.document.class {
            // A class without requests has no counts.
            let counts = counts.get(name).copied().unwrap_or_default();
            let first_tokens = first_tokens.get(name).cloned().unwrap_or_default();
            rows.push(burn_row(name, class, window_ms, counts, &first_tokens));
        }
    }
    rows
}

fn burn_row(
    name: &ClassName,
    class: &ClassConfig,
    window_ms: DurationMs,
    counts: Counts,
    first_tokens: &FirstTokens,
) -> Row {
    let quantile = |part| first_tokens.quantile_ms(part);
    Row::default()
        .with("class", name.as_str())
        .with("window_ms", window_ms.0)
        .with("tier", class.tier.0)
        .with("objective", class.objective.0)
        .with("attainment", counts.attainment().0)
        .with("burn", counts.burn_rate(class.objective))
        .with("budget_left", 1.0 - counts.burn_rate(class.objective))
        .with("p50_first_token_ms", quantile(0.5))
        .with("p95_first_token_ms", quantile(0.95))
        .with("p99_first_token_ms", quantile(0.99))
        .with_counts(&counts)
        .with(
            HISTOGRAM_FIELD,
            // A histogram can always be serialised.
            serde_json::to_value(first_tokens).unwrap_or_default(),
        )
}

/// Merges the rows of several daemons if the table is about the whole data centre.
pub fn merge(context: &Context, table: Table, rows: Vec<Row>) -> Vec<Row> {
    if table != Table::Burn {
        return rows;
    }
    let Some(in_force) = context.in_force.load() else {
        return rows;
    };
    let mut merged: BTreeMap<(u64, ClassName), (Counts, FirstTokens)> = BTreeMap::new();
    for row in &rows {
        let Some(class) = row.get("class").and_then(Value::as_str) else {
            continue;
        };
        // A field that a daemon of another version doesn't send counts as 0.
        let number = |name| row.get(name).and_then(Value::as_u64).unwrap_or(0);
        let key = (number("window_ms"), ClassName::new(class));
        let (counts, first_tokens) = merged.entry(key).or_default();
        counts.add(&Counts {
            offered: number("offered"),
            in_target: number("in_target"),
            late: number("late"),
            refused: number("refused"),
            cut: number("cut"),
            resumed: number("resumed"),
            good_tokens: number("good_tokens"),
            wasted_tokens: number("wasted_tokens"),
        });
        if let Some(value) = row.get(HISTOGRAM_FIELD) {
            // A histogram that can't be parsed is ignored: the percentiles cover the others only.
            first_tokens.add(&serde_json::from_value(value.clone()).unwrap_or_default());
        }
    }
    let merged_row =
        |((window_ms, name), (counts, first_tokens)): ((u64, ClassName), (Counts, FirstTokens))| {
            let class = in_force.document.class.get(&name)?;
            Some(burn_row(
                &name,
                class,
                DurationMs(window_ms),
                counts,
                &first_tokens,
            ))
        };
    merged.into_iter().filter_map(merged_row).collect()
}

async fn customers(context: &Arc<Context>) -> Vec<Row> {
    let Some(in_force) = context.in_force.load() else {
        return Vec::new();
    };
    let mut in_flight = BTreeMap::new();
    for (_, pool) in context.pools.all() {
        let Some(view) = pool.view().await else {
            continue;
        };
        for customer in view
            .requests
            .into_iter()
            .filter_map(|request| request.customer)
        {
            *in_flight.entry(customer).or_insert(0u64) += 1;
        }
    }
    let customer_row = |(name, customer): (&CustomerId, &CustomerConfig)| {
        vm_row(context)
            .with("customer", name.as_str())
            .with("default_kind", customer.default_kind.as_str())
            // A customer without an entry has no requests in flight.
            .with("in_flight", in_flight.get(name).copied().unwrap_or(0))
            .with(
                "concurrency_limit",
                customer.concurrency_limit.map(|limit| limit.0),
            )
            .with("rate_limit_tps", customer.rate_limit_tps.map(|rate| rate.0))
    };
    in_force
        .document
        .customer
        .iter()
        .map(customer_row)
        .collect()
}

async fn config(context: &Arc<Context>) -> Vec<Row> {
    let Some(in_force) = context.in_force.load() else {
        return Vec::new();
    };
    let document = &in_force.document;
    vec![
        vm_row(context)
            .with("version", in_force.version.0)
            .with("classes", document.class.len())
            .with("customers", document.customer.len())
            .with("kinds", document.kind.len())
            .with("services", document.service.len()),
    ]
}
