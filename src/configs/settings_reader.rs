//! Reading settings from flags, then environment variables; every problem in one go.

use derive_more::{Display, Error};
use std::str::FromStr;

/// What an address looks like.
pub(crate) const ADDRESS: &str = "an address such as 10.0.0.4:8080";
/// What a name looks like.
pub(crate) const NAME: &str = "a name";

/// What was wrong with one setting.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("--{flag} ({variable}): {what}")]
pub struct SettingProblem {
    /// The flag.
    pub flag: &'static str,
    /// Its environment variable.
    pub variable: String,
    /// What is wrong, and what would be right.
    pub what: String,
}

/// All that was wrong with the settings.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{}", problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct SettingProblems {
    /// Every problem.
    pub problems: Vec<SettingProblem>,
}

/// Where a setting's text comes from.
pub trait SettingSource {
    /// The text of `flag`, from the command line or its variable.
    fn text(&self, flag: &'static str) -> Option<String>;
}

/// The environment variable of a flag: `--vm-id` is `BRIDGEVANE_VM_ID`.
pub fn variable_of(flag: &str) -> String {
    format!("BRIDGEVANE_{}", flag.to_uppercase().replace('-', "_"))
}

/// Reads settings and gathers what is wrong with them.
pub(crate) struct Reader<'a, S> {
    source: &'a S,
    pub(crate) problems: Vec<SettingProblem>,
}

impl<'a, S: SettingSource> Reader<'a, S> {
    pub(crate) fn new(source: &'a S) -> Self {
        Self {
            source,
            problems: Vec::new(),
        }
    }

    pub(crate) fn fail(&mut self, flag: &'static str, what: String) {
        self.problems.push(SettingProblem {
            flag,
            variable: variable_of(flag),
            what,
        });
    }

    pub(crate) fn optional<T: FromStr>(&mut self, flag: &'static str, right: &str) -> Option<T> {
        let text = self.source.text(flag)?;
        let value = text.parse().ok();
        if value.is_none() {
            self.fail(flag, format!("'{text}' is not valid; give {right}"));
        }
        value
    }

    pub(crate) fn required<T: FromStr>(&mut self, flag: &'static str, right: &str) -> Option<T> {
        if self.source.text(flag).is_none() {
            self.fail(flag, format!("is missing; give {right}"));
            return None;
        }
        self.optional(flag, right)
    }

    pub(crate) fn list<T: FromStr>(&mut self, flag: &'static str, right: &str) -> Vec<T> {
        let text = self.source.text(flag).unwrap_or_default();
        let mut values = Vec::new();
        for part in text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
        {
            match part.parse() {
                Ok(value) => values.push(value),
                // The part may be a secret and isn't printed.
                Err(_) => self.fail(flag, format!("an entry is not valid; give {right}")),
            }
        }
        values
    }
}
