//! The rows of the operators' tables.

use crate::modules::serve::observation::service_levels::Counts;
use crate::modules::serve::operators::query_language::{Comparison, Condition, Operand};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::cmp::Ordering;

/// One field of a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Field {
    /// The field's name, with its unit.
    pub name: String,
    /// The field's value.
    pub value: Value,
}

/// One row of a table.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Row {
    /// The row's fields, in the table's order.
    pub fields: Vec<Field>,
}

impl Row {
    /// Returns the row with one more field.
    #[must_use]
    pub fn with(mut self, name: &str, value: impl Into<Value>) -> Self {
        self.fields.push(Field {
            name: name.to_owned(),
            value: value.into(),
        });
        self
    }

    /// Returns the row with the counts of a class.
    #[must_use]
    pub(super) fn with_counts(self, counts: &Counts) -> Self {
        self.with("offered", counts.offered)
            .with("in_target", counts.in_target)
            .with("late", counts.late)
            .with("refused", counts.refused)
            .with("cut", counts.cut)
            .with("resumed", counts.resumed)
            .with("good_tokens", counts.good_tokens)
            .with("wasted_tokens", counts.wasted_tokens)
    }

    /// Returns a field's value. The unit `_ms` may be omitted: `age` also finds `age_ms`.
    pub fn get(&self, name: &str) -> Option<&Value> {
        let with_unit = format!("{name}_ms");
        let has_name = |field: &&Field| field.name == name || field.name == with_unit;
        self.fields.iter().find(has_name).map(|field| &field.value)
    }

    /// Whether the row meets a condition; `None` if it has no such field.
    pub(crate) fn meets(&self, condition: &Condition) -> Option<bool> {
        let value = self.get(&condition.field)?;
        let order = compare(value, &condition.value);
        Some(match condition.comparison {
            Comparison::Equal => order == Some(Ordering::Equal),
            Comparison::NotEqual => order != Some(Ordering::Equal),
            Comparison::Less => order == Some(Ordering::Less),
            Comparison::LessOrEqual => matches!(order, Some(Ordering::Less | Ordering::Equal)),
            Comparison::Greater => order == Some(Ordering::Greater),
            Comparison::GreaterOrEqual => {
                matches!(order, Some(Ordering::Greater | Ordering::Equal))
            }
        })
    }
}

fn compare(value: &Value, operand: &Operand) -> Option<Ordering> {
    match (value, operand) {
        (Value::Number(value), Operand::Number(number)) => value.as_f64()?.partial_cmp(number),
        (Value::String(value), Operand::Text(text)) => Some(value.as_str().cmp(text)),
        (Value::Bool(value), Operand::Text(text)) => {
            let is_equal = value.to_string() == *text;
            is_equal.then_some(Ordering::Equal)
        }
        _ => None,
    }
}

/// The field with the histogram of times to the first token. It is only used to merge rows of
/// several daemons.
pub(super) const HISTOGRAM_FIELD: &str = "first_tokens";

/// Returns the rows without histograms, for people to read.
pub(crate) fn without_histograms(rows: &[Row]) -> Vec<Row> {
    let without = |row: &Row| {
        let fields = row.fields.iter();
        let fields = fields.filter(|field| field.name != HISTOGRAM_FIELD);
        Row {
            fields: fields.cloned().collect(),
        }
    };
    rows.iter().map(without).collect()
}
